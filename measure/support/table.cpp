#include "support/table.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace masticpass::measure {

table::table(std::vector<std::string> header) {
    rows_.push_back(std::move(header));
}

void table::add(std::vector<std::string> row) {
    rows_.push_back(std::move(row));
}

void table::print(const std::string& title) const {
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const auto& row : rows_) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::cout << title << '\n';
    for (const auto& row : rows_) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            std::cout << std::setw(static_cast<int>(widths[column]) + 2) << row[column];
        }
        std::cout << '\n';
    }
    std::cout << std::endl;
}

double percentile(std::vector<double> values, double share) {
    if (values.empty()) {
        return 0.0;
    }
    const auto index =
        std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

}  // namespace masticpass::measure

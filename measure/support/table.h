#ifndef MASTICPASS_MEASURE_SUPPORT_TABLE_H
#define MASTICPASS_MEASURE_SUPPORT_TABLE_H

#include <string>
#include <vector>

namespace masticpass::measure {

// A plain text table with right-aligned columns.
class table {
public:
    explicit table(std::vector<std::string> header);
    void add(std::vector<std::string> row);
    void print(const std::string& title) const;

private:
    std::vector<std::vector<std::string>> rows_;
};

// The value at the position `share`, from 0 to 1, of the sorted values; 0 if there are no values.
double percentile(std::vector<double> values, double share);

}  // namespace masticpass::measure

#endif

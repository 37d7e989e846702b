#include "decision/serving/retry_budget.h"

#include <algorithm>

namespace masticpass {
namespace {

constexpr std::int64_t hundredths_per_retry = 100;

}  // namespace

retry_budget::retry_budget(int percent, int burst)
    : balance_hundredths_(burst * hundredths_per_retry),
      maximum_hundredths_(burst * hundredths_per_retry),
      percent_(percent) {}

void retry_budget::record_first_attempt() {
    balance_hundredths_ = std::min(maximum_hundredths_, balance_hundredths_ + percent_);
}

bool retry_budget::take_retry() {
    if (balance_hundredths_ < hundredths_per_retry) {
        return false;
    }
    balance_hundredths_ -= hundredths_per_retry;
    return true;
}

int retry_budget::available() const {
    return static_cast<int>(balance_hundredths_ / hundredths_per_retry);
}

}  // namespace masticpass

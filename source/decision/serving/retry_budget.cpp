#include "decision/serving/retry_budget.h"

#include <algorithm>

namespace masticpass {
namespace {

constexpr std::int64_t one_retry = 100;

}  // namespace

retry_budget::retry_budget(int percent, int burst)
    : earned_(burst * one_retry), limit_(burst * one_retry), percent_(percent) {}

void retry_budget::first_attempt() {
    earned_ = std::min(limit_, earned_ + percent_);
}

bool retry_budget::take_retry() {
    if (earned_ < one_retry) {
        return false;
    }
    earned_ -= one_retry;
    return true;
}

int retry_budget::available() const {
    return static_cast<int>(earned_ / one_retry);
}

}  // namespace masticpass

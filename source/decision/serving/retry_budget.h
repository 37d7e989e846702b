#ifndef MASTICPASS_DECISION_SERVING_RETRY_BUDGET_H
#define MASTICPASS_DECISION_SERVING_RETRY_BUDGET_H

#include <cstdint>

namespace masticpass {

// Limits retries to a share of first attempts, so that a fault does not multiply the load on the remaining
// servers. Thread safety: none; the caller holds a lock.
class retry_budget {
public:
    // Each first attempt adds `percent` hundredths of a retry, up to `burst` retries. Starts full.
    explicit retry_budget(int percent = 10, int burst = 10);

    void record_first_attempt();

    // Takes one retry from the budget; false if there is none.
    [[nodiscard]] bool take_retry();

    // Whole retries that may be taken now.
    int available() const;

private:
    // Counted in hundredths of a retry, which keeps the sum exact.
    std::int64_t balance_hundredths_;
    std::int64_t maximum_hundredths_;
    int percent_;
};

}  // namespace masticpass

#endif

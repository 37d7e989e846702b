// The installed Abseil library is not built with the thread sanitizer, which therefore does not detect the
// synchronization through absl::Mutex and reports false data races. In a test program, the functions in this
// file replace those of the library: they report the synchronization to the sanitizer and call the library.
//
// Abseil may evaluate a condition on any thread that holds the mutex. Condition::Eval does not know the
// mutex, so the order of conditions is reported through two variables that all mutexes share. This may hide a
// data race between mutexes that are used with conditions, but never causes a false report.
#include <cstdlib>
#include <iostream>
#include <string>

#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <dlfcn.h>
#include <sanitizer/tsan_interface.h>

namespace {

char order_to_condition = 0;
char order_from_condition = 0;

// Returns the library's function with the mangled name that consists of `prefix`, the nested namespaces of
// Abseil and `name`.
template <typename Function>
Function library_function(const std::string& prefix, const std::string& name) {
    const std::string mangled = prefix + "4absl7debian3" + name;
    void* const found = dlsym(RTLD_NEXT, mangled.c_str());
    if (found == nullptr) {
        std::cerr << "the Abseil library has no function " << mangled << '\n';
        std::abort();
    }
    return reinterpret_cast<Function>(found);
}

void before_unlock(void* mutex) {
    __tsan_release(mutex);
    __tsan_release(&order_to_condition);
}

void after_lock(void* mutex) {
    __tsan_acquire(mutex);
    __tsan_acquire(&order_from_condition);
}

using mutex_function = void (*)(absl::Mutex*);

}  // namespace

// The library protects its graph of lock orders with an internal lock, which the sanitizer does not detect
// either.
// NOLINTNEXTLINE(bugprone-reserved-identifier,readability-identifier-naming): the sanitizer sets the name.
extern "C" const char* __tsan_default_suppressions() {
    return "called_from_lib:libabsl_graphcycles_internal\n";
}

namespace absl {
ABSL_NAMESPACE_BEGIN

void Mutex::Lock() {
    static const auto lock = library_function<mutex_function>("_ZN", "5Mutex4LockEv");
    lock(this);
    after_lock(this);
}

void Mutex::Unlock() {
    static const auto unlock = library_function<mutex_function>("_ZN", "5Mutex6UnlockEv");
    before_unlock(this);
    unlock(this);
}

bool Mutex::TryLock() {
    static const auto try_lock = library_function<bool (*)(Mutex*)>("_ZN", "5Mutex7TryLockEv");
    const bool is_locked = try_lock(this);
    if (is_locked) {
        after_lock(this);
    }
    return is_locked;
}

void Mutex::ReaderLock() {
    static const auto lock = library_function<mutex_function>("_ZN", "5Mutex10ReaderLockEv");
    lock(this);
    after_lock(this);
}

void Mutex::ReaderUnlock() {
    static const auto unlock = library_function<mutex_function>("_ZN", "5Mutex12ReaderUnlockEv");
    before_unlock(this);
    unlock(this);
}

void Mutex::Await(const Condition& condition) {
    static const auto await =
        library_function<void (*)(Mutex*, const Condition&)>("_ZN", "5Mutex5AwaitERKNS0_9ConditionE");
    before_unlock(this);
    await(this, condition);
    after_lock(this);
}

bool Mutex::AwaitWithTimeout(const Condition& condition, Duration timeout) {
    static const auto await = library_function<bool (*)(Mutex*, const Condition&, Duration)>(
        "_ZN", "5Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE");
    before_unlock(this);
    const bool is_true = await(this, condition, timeout);
    after_lock(this);
    return is_true;
}

bool Mutex::AwaitWithDeadline(const Condition& condition, Time deadline) {
    static const auto await = library_function<bool (*)(Mutex*, const Condition&, Time)>(
        "_ZN", "5Mutex17AwaitWithDeadlineERKNS0_9ConditionENS0_4TimeE");
    before_unlock(this);
    const bool is_true = await(this, condition, deadline);
    after_lock(this);
    return is_true;
}

void CondVar::Wait(Mutex* mutex) {
    static const auto wait =
        library_function<void (*)(CondVar*, Mutex*)>("_ZN", "7CondVar4WaitEPNS0_5MutexE");
    before_unlock(mutex);
    wait(this, mutex);
    after_lock(mutex);
}

bool Condition::Eval() const {
    static const auto eval = library_function<bool (*)(const Condition*)>("_ZNK", "9Condition4EvalEv");
    __tsan_acquire(&order_to_condition);
    const bool is_true = eval(this);
    __tsan_release(&order_from_condition);
    return is_true;
}

void Notification::Notify() {
    static const auto notify = library_function<void (*)(Notification*)>("_ZN", "12Notification6NotifyEv");
    __tsan_release(this);
    notify(this);
}

bool Notification::WaitForNotificationWithTimeout(Duration timeout) const {
    static const auto wait = library_function<bool (*)(const Notification*, Duration)>(
        "_ZNK", "12Notification30WaitForNotificationWithTimeoutENS0_8DurationE");
    const bool is_notified = wait(this, timeout);
    if (is_notified) {
        __tsan_acquire(const_cast<Notification*>(this));
    }
    return is_notified;
}

void Notification::WaitForNotification() const {
    static const auto wait =
        library_function<void (*)(const Notification*)>("_ZNK", "12Notification19WaitForNotificationEv");
    wait(this);
    __tsan_acquire(const_cast<Notification*>(this));
}

ABSL_NAMESPACE_END
}  // namespace absl

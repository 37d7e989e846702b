#include "agent/configuration_agent.h"

#include <optional>
#include <string>
#include <utility>

#include "agent/record_keys.h"

namespace masticpass {

namespace {

constexpr absl::Duration propose_timeout = absl::Seconds(8);

tl::expected<configuration_record, std::string> parse_current(const store_entry* current) {
    if (current == nullptr) {
        return configuration_record();
    }
    auto parsed = parse_configuration_record(current->value);
    if (!parsed) {
        return tl::unexpected(std::string("the configuration record in the store cannot be parsed"));
    }
    return std::move(*parsed);
}

operations_error to_error(const change_refusal& refused) {
    operations_error error;
    switch (refused.kind) {
        case change_refusal_kind::invalid:
            error.code = operations_error_code::invalid;
            error.message = "the change is not valid";
            break;
        case change_refusal_kind::conflict:
            error.code = operations_error_code::conflict;
            error.message = "a section was changed after the base revision";
            break;
        case change_refusal_kind::stale_record:
            error.code = operations_error_code::unavailable;
            error.message = "the store returned a configuration older than the base revision";
            break;
    }
    error.problems = refused.problems;
    error.conflicts = refused.conflicts;
    return error;
}

// The state of one proposed change, from the first read of the record to the outcome.
class proposal {
public:
    proposal(const configuration_change& change, configuration_usage usage, std::int64_t revision_in_force,
             const incarnation_id& self)
        : change_(change), usage_(std::move(usage)), revision_in_force_(revision_in_force), self_(self) {}

    tl::expected<std::string, std::string> propose(const store_entry* current) {
        const auto record = parse_current(current);
        if (!record) {
            return fail({operations_error_code::internal, record.error()});
        }
        if (record->revision < revision_in_force_) {
            return fail({operations_error_code::unavailable,
                         "the store returned a configuration older than the one in force"});
        }
        auto applied = apply_change(*record, change_, usage_, self_);
        if (!applied) {
            return fail(to_error(applied.error()));
        }
        result_ = change_result{applied->revision, applied->is_repeated};
        if (applied->is_repeated) {
            return tl::unexpected(std::string("the change was applied before"));
        }
        written_ = std::move(applied->record);
        return serialize(written_);
    }

    own_write find_own_write(const store_entry& current) const {
        const auto record = parse_current(&current);
        if (!record) {
            return own_write::undetermined;
        }
        switch (outcome_of_write(*record, written_)) {
            case change_outcome::applied:
                return own_write::found;
            case change_outcome::not_applied:
                return own_write::absent;
            case change_outcome::unknown:
                break;
        }
        return own_write::undetermined;
    }

    const std::optional<operations_error>& error() const { return error_; }
    const change_result& result() const { return result_; }
    std::string written_value() const { return serialize(written_); }

private:
    tl::unexpected<std::string> fail(operations_error error) {
        error_ = std::move(error);
        return tl::unexpected(error_->message);
    }

    const configuration_change& change_;
    const configuration_usage usage_;
    const std::int64_t revision_in_force_;
    const incarnation_id self_;
    configuration_record written_;
    change_result result_;
    std::optional<operations_error> error_;
};

}  // namespace

configuration_agent::configuration_agent(const incarnation_id& self, configuration_store& store,
                                         retry_counter& retries, const clock& time_source,
                                         record_cache& records, const fleet_state& fleet)
    : self_(self), store_(store), retries_(retries), clock_(time_source), records_(records), fleet_(fleet) {}

configuration_usage configuration_agent::usage() const {
    configuration_usage result;
    const auto pools = fleet_.pools();
    for (const auto& [pool, stored] : *pools) {
        result.pool_vms[pool] = pool_size(stored.record);
    }
    return result;
}

operations_result<change_result> configuration_agent::propose(const configuration_change& change,
                                                              const std::stop_token& stop) {
    absl::BitGen random;
    conditional_writer_options options;
    options.timeout = propose_timeout;
    conditional_writer writer(store_, retries_, clock_, random, options);
    proposal proposed(change, usage(), fleet_.configuration_revision(), self_);
    record_change request;
    request.key = std::string(configuration_key);
    request.propose = [&proposed](const store_entry* current) { return proposed.propose(current); };
    request.find_own_write = [&proposed](const store_entry& current) {
        return proposed.find_own_write(current);
    };
    const write_result written = writer.write(request, stop);
    switch (written.outcome) {
        case write_outcome::applied:
            records_.offer(
                {request.key, proposed.written_value(), static_cast<std::uint64_t>(written.revision)});
            return proposed.result();
        case write_outcome::conflict:
            if (proposed.error()) {
                return tl::unexpected(*proposed.error());
            }
            return proposed.result();
        case write_outcome::not_applied:
            return tl::unexpected(operations_error{operations_error_code::unavailable, written.message});
        case write_outcome::unknown:
            break;
    }
    return tl::unexpected(operations_error{operations_error_code::unknown_outcome, written.message});
}

}  // namespace masticpass

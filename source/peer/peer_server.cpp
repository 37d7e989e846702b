#include "peer/peer_server.h"

#include <utility>

#include <absl/strings/numbers.h>
#include <jsonrpccpp/common/exception.h>

#include "caller/caller_server.h"
#include "json_rpc/http_connector.h"
#include "peer_rpc_server_stub.h"

namespace masticpass {

class peer_server::rpc final : public peer_rpc_server_stub {
public:
    rpc(jsonrpc::AbstractServerConnector& connector, peer_handler& peers)
        : peer_rpc_server_stub(connector), peers_(peers) {}

    Json::Value heartbeat(const Json::Value& beat) override {
        const auto parsed = parse_heartbeat(beat);
        if (!parsed) {
            throw invalid_parameters("beat is not a valid heartbeat");
        }
        return to_json(peers_.receive_heartbeat(*parsed));
    }

    Json::Value records_after(const std::string& revision) override {
        std::uint64_t parsed = 0;
        if (!absl::SimpleAtoi(revision, &parsed)) {
            throw invalid_parameters("revision is not a number");
        }
        return to_json(peers_.records_after(parsed));
    }

    bool push_records(const Json::Value& records) override {
        const auto parsed = parse_records(records);
        if (!parsed) {
            throw invalid_parameters("records is not a valid list of records");
        }
        peers_.receive_records(*parsed);
        return true;
    }

    bool take_over_identities(const Json::Value& transfers) override {
        const auto parsed = parse_transfers(transfers);
        if (!parsed) {
            throw invalid_parameters("transfers is not a valid list of transfers");
        }
        return peers_.take_over_identities(*parsed);
    }

private:
    static jsonrpc::JsonRpcException invalid_parameters(const char* message) {
        return {jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, message};
    }

    peer_handler& peers_;
};

tl::expected<std::unique_ptr<peer_server>, std::string> peer_server::create(const settings& configured,
                                                                            peer_handler& peers,
                                                                            request_handler& requests,
                                                                            const clock& time_source,
                                                                            metrics_registry& metrics) {
    http_server_options options;
    options.worker_threads = configured.limits.peer_connections;
    options.maximum_request_bytes = configured.limits.request_bytes;
    auto server = http_server::create(configured.listen.peer.ip, configured.listen.peer.port, options);
    if (!server) {
        return tl::unexpected(server.error());
    }
    add_request_routes((*server)->routes(), requests, time_source, metrics, true);
    return std::unique_ptr<peer_server>(new peer_server(std::move(*server), peers));
}

peer_server::peer_server(std::unique_ptr<http_server> server, peer_handler& peers)
    : server_(std::move(server)),
      connector_(std::make_unique<http_connector>(server_->routes(), "/rpc")),
      rpc_(std::make_unique<rpc>(*connector_, peers)) {}

peer_server::~peer_server() {
    stop();
}

void peer_server::start() {
    server_->start();
}

void peer_server::stop() {
    server_->stop();
}

}  // namespace masticpass

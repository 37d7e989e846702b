#ifndef MASTICPASS_JSON_RPC_HTTP_CONNECTOR_H
#define MASTICPASS_JSON_RPC_HTTP_CONNECTOR_H

#include <string>

#include <httplib.h>
#include <jsonrpccpp/server.h>

namespace masticpass {

// Connects a libjsonrpccpp server to a route of an HTTP server. The HTTP server is started and stopped by its
// owner. Thread safety: requests may run on several threads at once.
class http_connector final : public jsonrpc::AbstractServerConnector {
public:
    // Serves `POST path` on `routes`, which must outlive this object's last request.
    http_connector(httplib::Server& routes, const std::string& path) {
        routes.Post(path, [this](const httplib::Request& request, httplib::Response& response) {
            std::string response_body;
            OnRequest(request.body, &response_body);
            response.set_content(response_body, "application/json");
        });
    }

    bool StartListening() override { return true; }
    bool StopListening() override { return true; }

    bool SendResponse(const std::string& response, void* destination) override {
        *static_cast<std::string*>(destination) = response;
        return true;
    }
};

}  // namespace masticpass

#endif

#ifndef MASTICPASS_STANDIN_BACKGROUND_HTTP_SERVER_H
#define MASTICPASS_STANDIN_BACKGROUND_HTTP_SERVER_H

#include <chrono>
#include <cstddef>
#include <string>
#include <thread>

#include <httplib.h>
#include <json/json.h>
#include <tl/expected.hpp>

namespace masticpass::standin {

// HTTP server that accepts connections on its own thread.
class background_http_server {
public:
    // Each open connection occupies one thread of a pool, so `maximum_connections` bounds the connections
    // that are served at the same time. A connection without a request is closed after `idle_timeout`.
    explicit background_http_server(std::size_t maximum_connections,
                                    std::chrono::seconds idle_timeout = std::chrono::seconds(5));
    // Stops the server and joins its threads.
    ~background_http_server();
    background_http_server(const background_http_server&) = delete;
    background_http_server& operator=(const background_http_server&) = delete;

    // Routes must be added before `start`.
    httplib::Server& server() { return server_; }

    // Listens on an IP address and port; port 0 selects a free port. Returns the bound address, or a
    // description of the error.
    tl::expected<std::string, std::string> start(const std::string& address);

private:
    httplib::Server server_;
    socket_t listening_socket_ = INVALID_SOCKET;
    std::thread thread_;
};

void respond_json(httplib::Response& response, int status, const Json::Value& body);

// Closes the connection before the response is complete, so that the client sees a lost response.
void lose_response(httplib::Response& response);

}  // namespace masticpass::standin

#endif

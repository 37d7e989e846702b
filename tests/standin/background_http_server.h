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

// An HTTP server on a thread of its own.
class background_http_server {
public:
    // One thread serves each open connection, so `maximum_connections` bounds the open connections. A
    // connection without a request ends after `idle_timeout`.
    explicit background_http_server(std::size_t maximum_connections,
                                    std::chrono::seconds idle_timeout = std::chrono::seconds(5));
    // Stops the server.
    ~background_http_server();
    background_http_server(const background_http_server&) = delete;
    background_http_server& operator=(const background_http_server&) = delete;

    // Routes are added before `start`.
    httplib::Server& server() { return server_; }

    // Starts to listen on an IP address and port; port 0 selects a free one. Returns the address in use.
    tl::expected<std::string, std::string> start(const std::string& address);

private:
    httplib::Server server_;
    socket_t listening_socket_ = INVALID_SOCKET;
    std::thread thread_;
};

void respond_json(httplib::Response& response, int status, const Json::Value& body);

// Ends the connection in place of a complete response.
void lose_response(httplib::Response& response);

}  // namespace masticpass::standin

#endif

// Time, JSON, the record of a run, and HTTP servers on loopback.
#pragma once

#include <httplib.h>
#include <json/json.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace review {

using steady = std::chrono::steady_clock;

inline const steady::time_point program_start = steady::now();

// Milliseconds since the start of this program.
inline std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - program_start).count();
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t duration) {
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

inline std::string format(const char* text, ...) {
    char buffer[2000];
    va_list arguments;
    va_start(arguments, text);
    vsnprintf(buffer, sizeof(buffer), text, arguments);
    va_end(arguments);
    return buffer;
}

// Writes what was sent, answered and run, with the time.
class recorder {
public:
    explicit recorder(const std::string& path) : file_(path) {}
    void line(const std::string& text) {
        const std::lock_guard<std::mutex> lock(mutex_);
        file_ << format("%9.3f ", static_cast<double>(now_ms()) / 1000) << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

inline Json::Value parse(const std::string& text) {
    Json::Value value;
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
        return Json::Value(Json::objectValue);
    }
    return value;
}

inline std::string write(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

inline std::string encode_base64(const std::string& bytes) {
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t position = 0; position < bytes.size(); position += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            const std::size_t index = position + offset;
            group = group << 8U | (index < bytes.size() ? static_cast<unsigned char>(bytes[index]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            const bool is_padding = position + digit > bytes.size();
            text += is_padding ? '=' : digits[group >> (18U - 6U * digit) & 63U];
        }
    }
    return text;
}

inline void respond(httplib::Response& response, int status, const Json::Value& body) {
    response.status = status;
    response.set_content(write(body), "application/json");
}

inline int free_port() {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    socklen_t size = sizeof(address);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(socket);
    return ntohs(address.sin_port);
}

// An HTTP server on a free loopback port.
class server {
public:
    explicit server(std::size_t threads) {
        http.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
        http.set_keep_alive_max_count(1000000);
        http.set_keep_alive_timeout(30);
        http.set_tcp_nodelay(true);
    }
    ~server() { stop(); }
    void start() {
        port = http.bind_to_any_port("127.0.0.1");
        thread_ = std::thread([this] { http.listen_after_bind(); });
        while (!http.is_running()) {
            sleep_ms(1);
        }
    }
    void stop() {
        if (thread_.joinable()) {
            http.stop();
            thread_.join();
        }
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(port); }

    httplib::Server http;
    int port = 0;

private:
    std::thread thread_;
};

}  // namespace review

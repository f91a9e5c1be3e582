#pragma once

#include "net/TcpListener.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace parsleypaddle {

/// A plain-text HTTP response.
struct HttpPage {
    int status { 200 };
    std::string body;
};

/// A minimal HTTP server on the loop's thread for health probes and metrics. The handler returns each page at once and
/// must not block; requests other than GET get status 400.
class HttpPages {
public:
    using Handler = std::function<HttpPage(std::string_view path)>;

    /// Returns an error if the address cannot be bound.
    static absl::StatusOr<std::unique_ptr<HttpPages>> create(PollLoop&, const std::string& host, uint16_t port, Handler);

private:
    explicit HttpPages(Handler);

    void addStream(std::shared_ptr<TcpStream>);
    size_t processInput(TcpStream&, std::string_view input);

    Handler m_handler;
    std::unordered_map<TcpStream*, std::shared_ptr<TcpStream>> m_streams;
    std::unique_ptr<TcpListener> m_listener;
};

}

#pragma once

#include "net/TcpListener.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace parsleypaddle {

/// A page served over HTTP.
struct HttpPage {
    int status { 200 };
    std::string body;
};

/// Answers GET requests from the loop, for probes and metrics: small pages that are ready at once.
class HttpPages {
public:
    using Handler = std::function<HttpPage(std::string_view path)>;

    /// Error: an address that cannot be bound.
    static absl::StatusOr<std::unique_ptr<HttpPages>> create(PollLoop&, const std::string& host, uint16_t port, Handler);

private:
    explicit HttpPages(Handler);

    void accepted(std::shared_ptr<TcpStream>);
    size_t received(TcpStream&, std::string_view input);

    Handler m_handler;
    std::unordered_map<TcpStream*, std::shared_ptr<TcpStream>> m_streams;
    std::unique_ptr<TcpListener> m_listener;
};

}

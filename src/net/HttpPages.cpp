#include "net/HttpPages.h"

#include <Poco/Net/HTTPResponse.h>

namespace parsleypaddle {

namespace {

    constexpr std::string_view headerTerminator = "\r\n\r\n";
    /// Requests of probes and of the metrics scraper have only a few hundred bytes.
    constexpr size_t maxHeaderBytes = 8192;

    /// The request path without its query; empty if the request is not a GET.
    std::string_view requestPath(std::string_view header)
    {
        constexpr std::string_view method = "GET ";
        if (header.substr(0, method.size()) != method)
            return {};
        header.remove_prefix(method.size());
        return header.substr(0, header.find_first_of(" ?\r"));
    }

    std::string encodeResponse(const HttpPage& page)
    {
        const auto status = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(page.status);
        return "HTTP/1.1 " + std::to_string(page.status) + " " + Poco::Net::HTTPResponse::getReasonForStatus(status)
            + "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(page.body.size()) + "\r\n\r\n" + page.body;
    }

}

absl::StatusOr<std::unique_ptr<HttpPages>> HttpPages::create(PollLoop& loop, const std::string& host, uint16_t port, Handler handler)
{
    std::unique_ptr<HttpPages> pages(new HttpPages(std::move(handler)));
    auto listener = TcpListener::create(loop, host, port, [it = pages.get()](std::shared_ptr<TcpStream> stream) { it->addStream(std::move(stream)); });
    if (!listener.ok())
        return listener.status();
    pages->m_listener = *std::move(listener);
    return pages;
}

HttpPages::HttpPages(Handler handler)
    : m_handler(std::move(handler))
{
}

void HttpPages::addStream(std::shared_ptr<TcpStream> stream)
{
    TcpStream* key = stream.get();
    m_streams.emplace(key, std::move(stream));
    key->startReceiving([this, key](std::string_view input) { return processInput(*key, input); }, [this, key] { m_streams.erase(key); });
}

size_t HttpPages::processInput(TcpStream& stream, std::string_view input)
{
    size_t used = 0;
    for (size_t end = input.find(headerTerminator); end != std::string_view::npos; end = input.find(headerTerminator, used)) {
        const std::string_view path = requestPath(input.substr(used, end - used));
        stream.send(encodeResponse(path.empty() ? HttpPage { Poco::Net::HTTPResponse::HTTP_BAD_REQUEST, "" } : m_handler(path)));
        used = end + headerTerminator.size();
    }
    if (input.size() - used > maxHeaderBytes) {
        stream.close();
        m_streams.erase(&stream);
    }
    return used;
}

}

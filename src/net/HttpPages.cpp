#include "net/HttpPages.h"

#include <Poco/Net/HTTPResponse.h>

namespace parsleypaddle {

namespace {

    constexpr std::string_view headEnd = "\r\n\r\n";
    /// Probes send a few hundred bytes.
    constexpr size_t longestHead = 8192;

    /// The path of a GET request's first line; empty for anything else.
    std::string_view pathOf(std::string_view head)
    {
        constexpr std::string_view method = "GET ";
        if (head.substr(0, method.size()) != method)
            return {};
        head.remove_prefix(method.size());
        return head.substr(0, head.find_first_of(" ?\r"));
    }

    std::string encode(const HttpPage& page)
    {
        const auto status = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(page.status);
        return "HTTP/1.1 " + std::to_string(page.status) + " " + Poco::Net::HTTPResponse::getReasonForStatus(status)
            + "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(page.body.size()) + "\r\n\r\n" + page.body;
    }

}

absl::StatusOr<std::unique_ptr<HttpPages>> HttpPages::create(PollLoop& loop, const std::string& host, uint16_t port, Handler handler)
{
    std::unique_ptr<HttpPages> pages(new HttpPages(std::move(handler)));
    auto listener = TcpListener::create(loop, host, port, [it = pages.get()](std::shared_ptr<TcpStream> stream) { it->accepted(std::move(stream)); });
    if (!listener.ok())
        return listener.status();
    pages->m_listener = *std::move(listener);
    return pages;
}

HttpPages::HttpPages(Handler handler)
    : m_handler(std::move(handler))
{
}

void HttpPages::accepted(std::shared_ptr<TcpStream> stream)
{
    TcpStream* key = stream.get();
    m_streams.emplace(key, std::move(stream));
    key->start([this, key](std::string_view input) { return received(*key, input); }, [this, key] { m_streams.erase(key); });
}

size_t HttpPages::received(TcpStream& stream, std::string_view input)
{
    size_t used = 0;
    for (size_t end = input.find(headEnd); end != std::string_view::npos; end = input.find(headEnd, used)) {
        const std::string_view path = pathOf(input.substr(used, end - used));
        stream.send(encode(path.empty() ? HttpPage { Poco::Net::HTTPResponse::HTTP_BAD_REQUEST, "" } : m_handler(path)));
        used = end + headEnd.size();
    }
    if (input.size() - used > longestHead) {
        stream.close();
        m_streams.erase(&stream);
    }
    return used;
}

}

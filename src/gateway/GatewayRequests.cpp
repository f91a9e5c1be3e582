#include "gateway/GatewayServer.h"

#include "gateway/HttpStatus.h"
#include "net/KeyCheck.h"
#include "peers/HomeCallJson.h"
#include "peers/PeerPaths.h"
#include "statements/StatementJson.h"

#include <absl/strings/str_cat.h>
#include <cstring>

// The way of one request: head, body, handler, answer.

namespace parsleypaddle {

namespace {

    constexpr const char* statementPath = "/v1/statements";

    Route routeOf(const char* url, const char* method)
    {
        const bool isPost = std::strcmp(method, MHD_HTTP_METHOD_POST) == 0;
        if (isPost && std::strcmp(url, statementPath) == 0)
            return Route::Statement;
        if (isPost && std::strcmp(url, homePath) == 0)
            return Route::HomeCall;
        return std::strcmp(method, MHD_HTTP_METHOD_GET) == 0 ? Route::Page : Route::Unknown;
    }

    bool hasAcceptedKey(MHD_Connection* connection, const std::vector<std::string>& keys)
    {
        const char* key = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, peerKeyHeader);
        return key && isKnownKey(keys, key);
    }

    size_t statedLength(MHD_Connection* connection)
    {
        const char* text = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
        return text ? std::strtoull(text, nullptr, 10) : 0;
    }

    std::string tooLargeMessage(size_t limit)
    {
        return absl::StrCat("body: larger than ", limit, " bytes");
    }

}

void Gateway::Server::receiveHead(Exchange& exchange, const char* url, const char* method)
{
    exchange.phase = ExchangePhase::Body;
    exchange.route = routeOf(url, method);
    if (exchange.route == Route::Page)
        exchange.path = url;
    if (exchange.route == Route::Unknown) {
        refuse(exchange, ResultCode::UnknownResource, absl::StrCat("no ", method, " at this path"));
        return;
    }
    if (exchange.route == Route::HomeCall && !hasAcceptedKey(exchange.connection, m_settings.peerKeys)) {
        ++m_counts.keysRefused;
        refuse(exchange, ResultCode::KeyRefused, absl::StrCat(peerKeyHeader, ": absent or not an accepted key"));
        return;
    }
    if (statedLength(exchange.connection) > m_settings.maximumBody)
        refuse(exchange, ResultCode::TooLarge, tooLargeMessage(m_settings.maximumBody));
}

void Gateway::Server::receiveBody(Exchange& exchange, const char* data, size_t size)
{
    if (exchange.phase != ExchangePhase::Body)
        return;
    if (exchange.body.size() + size > m_settings.maximumBody) {
        refuse(exchange, ResultCode::TooLarge, tooLargeMessage(m_settings.maximumBody));
        return;
    }
    if (m_bufferedBytes + size > m_settings.bodyMemoryLimit) {
        refuse(exchange, ResultCode::Overloaded, "too many large bodies are being received");
        return;
    }
    m_bufferedBytes += size;
    exchange.body.append(data, size);
}

MHD_Result Gateway::Server::dispatch(Exchange& exchange)
{
    if (exchange.phase <= ExchangePhase::Discarding) {
        const bool isRefused = exchange.phase == ExchangePhase::Discarding;
        exchange.phase = ExchangePhase::Handling;
        m_received.splice(m_received.end(), m_receiving, exchange.place);
        static constexpr void (Server::*handlers[])(Exchange&) {
            &Server::handleStatement,
            &Server::handleHomeCall,
            &Server::handlePage,
        };
        if (!isRefused)
            (this->*handlers[static_cast<size_t>(exchange.route)])(exchange);
    }
    if (exchange.isAnswered)
        return sendAnswer(exchange);
    exchange.isSuspended = true;
    MHD_suspend_connection(exchange.connection);
    return MHD_YES;
}

void Gateway::Server::handleStatement(Exchange& exchange)
{
    auto request = decodeStatementRequest(exchange.body, exchange.arrived);
    releaseBody(exchange);
    if (!request.ok()) {
        refuse(exchange, resultCodeOf(request.status()), std::string(request.status().message()));
        return;
    }
    ++m_counts.statements;
    exchange.id = request->id;
    m_handlers.onStatement(*std::move(request), [this, weak = std::weak_ptr<Exchange>(*exchange.place)](const StatementAnswer& given) {
        const auto waiting = weak.lock();
        if (!waiting || waiting->isAnswered)
            return;
        answer(*waiting, given);
        complete(*waiting);
    });
}

void Gateway::Server::handleHomeCall(Exchange& exchange)
{
    auto call = decodeHomeCall(exchange.body, exchange.arrived);
    releaseBody(exchange);
    if (!call.ok()) {
        refuse(exchange, resultCodeOf(call.status()), std::string(call.status().message()));
        return;
    }
    ++m_counts.homeCalls;
    m_handlers.onHomeCall(*std::move(call), [this, weak = std::weak_ptr<Exchange>(*exchange.place)](const HomeReply& reply) {
        const auto waiting = weak.lock();
        if (!waiting || waiting->isAnswered)
            return;
        waiting->status = MHD_HTTP_OK;
        waiting->answer = encodeHomeReply(reply, m_loop.now());
        complete(*waiting);
    });
}

void Gateway::Server::handlePage(Exchange& exchange)
{
    auto page = m_handlers.page ? m_handlers.page(exchange.path) : std::nullopt;
    if (!page) {
        refuse(exchange, ResultCode::UnknownResource, "no page at this path");
        return;
    }
    exchange.status = page->status;
    exchange.contentType = std::move(page->contentType);
    exchange.answer = std::move(page->body);
    complete(exchange);
}

void Gateway::Server::refuse(Exchange& exchange, ResultCode code, const std::string& message)
{
    ++m_counts.refused;
    releaseBody(exchange);
    StatementAnswer refusal;
    refusal.id = exchange.id;
    refusal.code = code;
    refusal.message = message;
    answer(exchange, refusal);
    if (exchange.phase == ExchangePhase::Body)
        exchange.phase = ExchangePhase::Discarding;
    exchange.isAnswered = true;
}

void Gateway::Server::answer(Exchange& exchange, const StatementAnswer& given)
{
    exchange.status = httpStatusOf(given.code);
    exchange.answer = encodeStatementAnswer(given);
}

void Gateway::Server::complete(Exchange& exchange)
{
    exchange.isAnswered = true;
    if (!exchange.isSuspended)
        return;
    exchange.isSuspended = false;
    MHD_resume_connection(exchange.connection);
    // Without threads of its own libmicrohttpd is not woken by a resumption.
    scheduleRun(Milliseconds(0));
}

MHD_Result Gateway::Server::sendAnswer(Exchange& exchange)
{
    exchange.phase = ExchangePhase::Answering;
    // The exchange outlives the response, so that its text need not be copied.
    MHD_Response* response = MHD_create_response_from_buffer(exchange.answer.size(), exchange.answer.data(), MHD_RESPMEM_PERSISTENT);
    if (!response)
        return MHD_NO;
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, exchange.contentType.c_str());
    if (m_isDraining)
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    const MHD_Result isQueued = MHD_queue_response(exchange.connection, exchange.status, response);
    MHD_destroy_response(response);
    return isQueued;
}

void Gateway::Server::releaseBody(Exchange& exchange)
{
    m_bufferedBytes -= exchange.body.size();
    std::string().swap(exchange.body);
}

}

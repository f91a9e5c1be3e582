#include "gateway/GatewayServer.h"

#include "gateway/HttpStatus.h"
#include "net/KeyCheck.h"
#include "net/SizedWork.h"
#include "peers/HomeCallJson.h"
#include "peers/PeerPaths.h"
#include "statements/StatementJson.h"

#include <absl/strings/str_cat.h>
#include <cstring>
#include <utility>

// Processing of one request: header, body, handler, answer.

namespace parsleypaddle {

namespace {

    constexpr const char* statementPath = "/v1/statements";

    Route routeOf(const char* url, const char* method)
    {
        const bool isPost = std::strcmp(method, MHD_HTTP_METHOD_POST) == 0;
        if (isPost && std::strcmp(url, statementPath) == 0)
            return Route::Statement;
        if (isPost && std::strcmp(url, homeCallPath) == 0)
            return Route::HomeCall;
        return std::strcmp(method, MHD_HTTP_METHOD_GET) == 0 ? Route::Page : Route::Unknown;
    }

    bool hasValidPeerKey(MHD_Connection* connection, const std::vector<std::string>& keys)
    {
        const char* key = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, peerKeyHeader);
        return key && isKnownKey(keys, key);
    }

    size_t contentLengthOf(MHD_Connection* connection)
    {
        const char* text = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
        return text ? std::strtoull(text, nullptr, 10) : 0;
    }

    size_t sizeOf(const Rows& rows)
    {
        size_t bytes = 0;
        for (const auto& row : rows.values) {
            for (const auto& value : row)
                bytes += value ? value->size() : 0;
        }
        return bytes;
    }

    std::string tooLargeMessage(size_t limit)
    {
        return absl::StrCat("body: larger than ", limit, " bytes");
    }

}

void Gateway::Server::receiveHeader(Exchange& exchange, const char* url, const char* method)
{
    exchange.phase = ExchangePhase::ReceivingBody;
    exchange.route = routeOf(url, method);
    if (exchange.route == Route::Page)
        exchange.path = url;
    if (exchange.route == Route::Unknown) {
        reject(exchange, ResultCode::UnknownResource, absl::StrCat("no ", method, " at this path"));
        return;
    }
    if (exchange.route == Route::HomeCall && !hasValidPeerKey(exchange.connection, m_settings.peerKeys)) {
        ++m_counts.rejectedKeys;
        reject(exchange, ResultCode::KeyRefused, absl::StrCat(peerKeyHeader, ": absent or not an accepted key"));
        return;
    }
    if (contentLengthOf(exchange.connection) > m_settings.maximumBodyBytes)
        reject(exchange, ResultCode::TooLarge, tooLargeMessage(m_settings.maximumBodyBytes));
}

void Gateway::Server::receiveBody(Exchange& exchange, const char* data, size_t size)
{
    if (exchange.phase != ExchangePhase::ReceivingBody)
        return;
    if (exchange.body.size() + size > m_settings.maximumBodyBytes) {
        reject(exchange, ResultCode::TooLarge, tooLargeMessage(m_settings.maximumBodyBytes));
        return;
    }
    if (m_bufferedBytes + size > m_settings.bodyMemoryLimit) {
        reject(exchange, ResultCode::Overloaded, "the memory limit for request bodies is reached");
        return;
    }
    m_bufferedBytes += size;
    exchange.bufferedBytes += size;
    exchange.body.append(data, size);
}

MHD_Result Gateway::Server::dispatch(Exchange& exchange)
{
    if (exchange.phase <= ExchangePhase::DiscardingBody) {
        const bool isRejected = exchange.phase == ExchangePhase::DiscardingBody;
        exchange.phase = ExchangePhase::Handling;
        m_received.splice(m_received.end(), m_receiving, exchange.listPosition);
        static constexpr void (Server::*handlers[])(Exchange&) {
            &Server::parseStatement,
            &Server::parseHomeCall,
            &Server::servePage,
        };
        if (!isRejected)
            (this->*handlers[static_cast<size_t>(exchange.route)])(exchange);
    }
    if (exchange.isAnswerEncoded)
        return sendAnswer(exchange);
    exchange.isSuspended = true;
    MHD_suspend_connection(exchange.connection);
    return MHD_YES;
}

void Gateway::Server::parseStatement(Exchange& exchange)
{
    const auto body = takeBody(exchange);
    const auto decode = [body, arrivedAt = exchange.arrivedAt] { return decodeStatementRequest(*body, arrivedAt); };
    runOnWorkerIfLarge(*m_workers, body->size(), decode, [this, weak = exchange.weak()](absl::StatusOr<StatementRequest> request) {
        if (const auto waiting = weak.lock())
            forwardStatement(*waiting, std::move(request));
    });
}

void Gateway::Server::forwardStatement(Exchange& exchange, absl::StatusOr<StatementRequest> request)
{
    releaseBody(exchange);
    if (!request.ok()) {
        reject(exchange, resultCodeOf(request.status()), std::string(request.status().message()));
        return;
    }
    ++m_counts.statements;
    exchange.id = request->id;
    m_handlers.onStatement(*std::move(request), [this, weak = exchange.weak()](StatementAnswer answer) {
        const auto waiting = weak.lock();
        if (waiting && !waiting->hasResult)
            encodeAnswer(*waiting, std::move(answer));
    });
}

void Gateway::Server::parseHomeCall(Exchange& exchange)
{
    const auto body = takeBody(exchange);
    const auto decode = [body, arrivedAt = exchange.arrivedAt] { return decodeHomeCall(*body, arrivedAt); };
    runOnWorkerIfLarge(*m_workers, body->size(), decode, [this, weak = exchange.weak()](absl::StatusOr<HomeCall> call) {
        if (const auto waiting = weak.lock())
            forwardHomeCall(*waiting, std::move(call));
    });
}

void Gateway::Server::forwardHomeCall(Exchange& exchange, absl::StatusOr<HomeCall> call)
{
    releaseBody(exchange);
    if (!call.ok()) {
        reject(exchange, resultCodeOf(call.status()), std::string(call.status().message()));
        return;
    }
    ++m_counts.homeCalls;
    m_handlers.onHomeCall(*std::move(call), [this, weak = exchange.weak()](HomeReply reply) {
        const auto waiting = weak.lock();
        if (waiting && !waiting->hasResult)
            encodeAnswer(*waiting, std::move(reply));
    });
}

void Gateway::Server::servePage(Exchange& exchange)
{
    auto page = m_handlers.onPage ? m_handlers.onPage(exchange.path) : std::nullopt;
    if (!page) {
        reject(exchange, ResultCode::UnknownResource, "no page at this path");
        return;
    }
    exchange.status = page->status;
    exchange.contentType = std::move(page->contentType);
    exchange.answer = std::move(page->body);
    resumeToAnswer(exchange);
}

void Gateway::Server::reject(Exchange& exchange, ResultCode code, const std::string& message)
{
    ++m_counts.rejected;
    releaseBody(exchange);
    if (exchange.phase == ExchangePhase::ReceivingBody)
        exchange.phase = ExchangePhase::DiscardingBody;
    StatementAnswer rejection;
    rejection.id = exchange.id;
    rejection.code = code;
    rejection.message = message;
    encodeAnswer(exchange, std::move(rejection));
}

void Gateway::Server::encodeAnswer(Exchange& exchange, StatementAnswer answer)
{
    exchange.hasResult = true;
    exchange.status = httpStatusOf(answer.code);
    const size_t bytes = sizeOf(answer.rows);
    const auto encode = [answer = std::move(answer)] { return encodeStatementAnswer(answer); };
    runOnWorkerIfLarge(*m_workers, bytes, encode, [this, weak = exchange.weak()](std::string text) {
        const auto waiting = weak.lock();
        if (!waiting)
            return;
        waiting->answer = std::move(text);
        resumeToAnswer(*waiting);
    });
}

void Gateway::Server::encodeAnswer(Exchange& exchange, HomeReply reply)
{
    exchange.hasResult = true;
    exchange.status = MHD_HTTP_OK;
    const size_t bytes = sizeOf(reply.answer.rows);
    const auto encode = [reply = std::move(reply), now = m_loop.now()] { return encodeHomeReply(reply, now); };
    runOnWorkerIfLarge(*m_workers, bytes, encode, [this, weak = exchange.weak()](std::string text) {
        const auto waiting = weak.lock();
        if (!waiting)
            return;
        waiting->answer = std::move(text);
        resumeToAnswer(*waiting);
    });
}

void Gateway::Server::resumeToAnswer(Exchange& exchange)
{
    exchange.isAnswerEncoded = true;
    if (!exchange.isSuspended)
        return;
    exchange.isSuspended = false;
    MHD_resume_connection(exchange.connection);
    // Without threads of its own, libmicrohttpd processes a resumed connection only in the next MHD_run().
    scheduleRun(Milliseconds(0));
}

MHD_Result Gateway::Server::sendAnswer(Exchange& exchange)
{
    exchange.phase = ExchangePhase::Answering;
    // The exchange exists until the response has been sent, so the response can refer to exchange.answer instead of copying
    // it.
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

std::shared_ptr<const std::string> Gateway::Server::takeBody(Exchange& exchange)
{
    return std::make_shared<const std::string>(std::exchange(exchange.body, {}));
}

void Gateway::Server::releaseBody(Exchange& exchange)
{
    m_bufferedBytes -= std::exchange(exchange.bufferedBytes, 0);
    std::string().swap(exchange.body);
}

}

#include "peers/PeerCall.h"

#include "peers/HomeCallJson.h"
#include "peers/PeerClient.h"
#include "peers/PeerPaths.h"
#include "statements/StatementJson.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <utility>

namespace parsleypaddle {

namespace {

    // The deadline sent to the home is earlier than the caller's by a margin, so that the reply can arrive in time: 10 ms, or
    // a tenth of the remaining time when that is less.
    constexpr Milliseconds maxDeadlineMargin { 10 };
    constexpr double deadlineMarginShare = 0.1;
    constexpr long receiveBufferBytes = 16L * 1024;

    Milliseconds deadlineMargin(Milliseconds remaining)
    {
        return std::min(maxDeadlineMargin, remaining * deadlineMarginShare);
    }

    const char* deliveryText(bool mayBeDelivered)
    {
        return mayBeDelivered ? "the call may have been delivered" : "the call was not delivered";
    }

    HomeReply failureReply(const RequestId& request, ResultCode code, const std::string& message)
    {
        HomeReply reply;
        reply.answer.id = request;
        reply.answer.code = code;
        reply.answer.message = message;
        return reply;
    }

    /// Decodes a response: a home reply, or the answer with which the peer's gateway rejected the call. The
    /// result is PeerSilent when the body cannot be decoded.
    HomeReply decodeReply(const InstanceId& peer, const RequestId& request, long status, const std::string& text, Instant now)
    {
        constexpr long success = 200;
        if (status == success) {
            if (auto reply = decodeHomeReply(text, now); reply.ok())
                return *std::move(reply);
        } else if (auto refusal = decodeStatementAnswer(text); refusal.ok()) {
            HomeReply reply;
            reply.answer = *std::move(refusal);
            reply.answer.id = request;
            return reply;
        }
        return failureReply(request, ResultCode::PeerSilent, absl::StrCat(peer.value(), ": cannot decode the body of the response with HTTP status ", status));
    }

}

std::unique_ptr<PeerCall> PeerCall::create(const PeerClientSettings& settings)
{
    CURL* handle = curl_easy_init();
    if (!handle)
        return nullptr;
    std::unique_ptr<PeerCall> call(new PeerCall(handle));
    call->setOptions(settings);
    return call;
}

PeerCall::PeerCall(CURL* handle)
    : m_handle(handle)
{
}

PeerCall::~PeerCall()
{
    curl_easy_cleanup(m_handle);
    curl_slist_free_all(m_headers);
}

void PeerCall::setOptions(const PeerClientSettings& settings)
{
    m_tcpUserTimeoutMilliseconds = static_cast<unsigned>(settings.tcpUserTimeout.count());
    m_headers = curl_slist_append(m_headers, absl::StrCat(peerKeyHeader, ": ", settings.key).c_str());
    m_headers = curl_slist_append(m_headers, "Content-Type: application/json");
    m_headers = curl_slist_append(m_headers, "Expect:");
    m_headers = curl_slist_append(m_headers, "Accept:");
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_headers);
    curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(m_handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(settings.connectTimeout.count()));
    curl_easy_setopt(m_handle, CURLOPT_BUFFERSIZE, receiveBufferBytes);
    curl_easy_setopt(m_handle, CURLOPT_POST, 1L);
    curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
    curl_easy_setopt(m_handle, CURLOPT_PREREQFUNCTION, &PeerCall::onBeforeRequest);
    curl_easy_setopt(m_handle, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &PeerCall::onBodyReceived);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_SOCKOPTFUNCTION, &PeerCall::onSocketCreated);
    curl_easy_setopt(m_handle, CURLOPT_SOCKOPTDATA, &m_tcpUserTimeoutMilliseconds);
}

std::string PeerCall::encode(const HomeCall& call, Instant now)
{
    return encodeHomeCall(call, now + deadlineMargin(call.request.deadline - now));
}

void PeerCall::prepare(const Destination& destination, const HomeCall& call, std::string body, HomeClient::Done done)
{
    m_peer = destination.peer;
    m_request = call.request.id;
    m_done = std::move(done);
    m_body = std::move(body);
    m_mayResend = call.operation != HomeOperation::Write;
    m_hasStartedSending = false;
    curl_easy_setopt(m_handle, CURLOPT_URL, destination.url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_MAXAGE_CONN, destination.maxIdleSeconds);
    curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_body.size()));
    curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, m_body.data());
}

// curl sends a request again by itself when a reused connection breaks before the response. A write that the peer may
// have received must not be sent twice, because a step of a transaction would then run twice.
int PeerCall::onBeforeRequest(void* call, char*, char*, int, int)
{
    auto* self = static_cast<PeerCall*>(call);
    if (self->m_hasStartedSending && !self->m_mayResend)
        return CURL_PREREQFUNC_ABORT;
    self->m_hasStartedSending = true;
    return CURL_PREREQFUNC_OK;
}

size_t PeerCall::onBodyReceived(char* data, size_t size, size_t count, void* call)
{
    static_cast<PeerCall*>(call)->m_received.append(data, size * count);
    return size * count;
}

int PeerCall::onSocketCreated(void* tcpUserTimeoutMilliseconds, curl_socket_t descriptor, curlsocktype)
{
    // Without this timeout, a call whose data the peer's host does not acknowledge would wait until its deadline.
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, tcpUserTimeoutMilliseconds, sizeof(unsigned));
    return CURL_SOCKOPT_OK;
}

std::function<HomeReply()> PeerCall::makeReplyDecoder(CURLcode result, Instant now)
{
    if (result != CURLE_OK) {
        const ResultCode code = m_hasStartedSending ? ResultCode::PeerSilent : ResultCode::PeerUnreachable;
        const std::string message = absl::StrCat(m_peer.value(), ": ", curl_easy_strerror(result), "; ", deliveryText(m_hasStartedSending));
        return [request = m_request, code, message] { return failureReply(request, code, message); };
    }
    long status = 0;
    curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &status);
    return [peer = m_peer, request = m_request, status, now, text = std::exchange(m_received, {})] {
        return decodeReply(peer, request, status, text, now);
    };
}

HomeReply PeerCall::makeDeadlineReply() const
{
    const ResultCode code = m_hasStartedSending ? ResultCode::PeerSilent : ResultCode::PeerUnreachable;
    return failureReply(m_request, code, absl::StrCat(m_peer.value(), ": no answer by the deadline; ", deliveryText(m_hasStartedSending)));
}

HomeClient::Done PeerCall::resetForReuse()
{
    std::string().swap(m_body);
    std::string().swap(m_received);
    HomeClient::Done done;
    done.swap(m_done);
    return done;
}

}

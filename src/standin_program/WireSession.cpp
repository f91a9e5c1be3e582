#include "standin_program/WireSession.h"

#include "standin_program/WireReplies.h"

#include <Poco/Exception.h>
#include <array>
#include <cerrno>

namespace parsleypaddle {

namespace {

    constexpr int32_t sslRequest = 80877103;
    constexpr int32_t gssRequest = 80877104;
    constexpr int32_t cancelRequest = 80877102;
    constexpr size_t receiveSize = size_t(64) * 1024;

    // POCO throws in place of a short count when a socket that does not block cannot go on.
    bool wouldBlock(const Poco::Exception& ec)
    {
        return ec.code() == EAGAIN || dynamic_cast<const Poco::TimeoutException*>(&ec);
    }

}

WireSession::WireSession(PollLoop& loop, uint64_t id, const Poco::Net::StreamSocket& socket, WireSessionOwner& owner)
    : m_loop(loop)
    , m_id(id)
    , m_socket(socket)
    , m_owner(owner)
{
    m_socket.setBlocking(false);
    m_socket.setNoDelay(true);
    m_loop.watch(m_socket.impl()->sockfd(), Readiness::Read, [this](Readiness readiness) { ready(readiness); });
}

WireSession::~WireSession()
{
    m_loop.unwatch(m_socket.impl()->sockfd());
    m_socket.close();
}

void WireSession::ready(Readiness readiness)
{
    const bool isOpen = receive();
    if (has(readiness, Readiness::Write))
        flush();
    if (!isOpen)
        m_isInputEnded = true;
    if (!m_isFrozen)
        processInput();
    else if (m_isInputEnded)
        m_loop.unwatch(m_socket.impl()->sockfd());
}

/// Returns whether the client is still there.
bool WireSession::receive()
{
    std::array<char, receiveSize> buf {};
    try {
        const int n = m_socket.receiveBytes(buf.data(), static_cast<int>(buf.size()));
        if (n == 0)
            return false;
        if (n > 0 && !m_isSilent)
            m_reader.append(std::string_view(buf.data(), static_cast<size_t>(n)));
        return true;
    } catch (const Poco::Exception& ec) {
        return wouldBlock(ec);
    }
}

void WireSession::processInput()
{
    while (!m_isSilent) {
        const auto message = m_reader.next();
        if (!message)
            break;
        if (m_hasStarted)
            process(*message);
        else
            processStartup(*message);
    }
    if (m_reader.isBroken() || m_isInputEnded)
        close();
}

void WireSession::processStartup(const WireMessage& message)
{
    WireFields fields(message.body);
    const int32_t request = fields.int32();
    if (request == sslRequest || request == gssRequest) {
        m_output += 'N';
        flush();
        return;
    }
    if (request == cancelRequest) {
        close();
        return;
    }
    while (!fields.isAtEnd()) {
        const std::string name = fields.text();
        const std::string value = fields.text();
        if (name == "application_name")
            m_applicationName = value;
    }
    m_hasStarted = true;
    m_reader.startUp();
    m_owner.introduced(*this);
}

void WireSession::process(const WireMessage& message)
{
    const WireFields fields(message.body);
    switch (message.type) {
    case 'P':
        parse(fields);
        break;
    case 'B':
        bind(fields);
        break;
    case 'D':
        describe(fields);
        break;
    case 'E':
        execute();
        break;
    case 'C':
        add(PipelineRequest::Close);
        break;
    case 'Q':
        query(fields);
        break;
    case 'S':
        sync();
        break;
    case 'X':
        close();
        break;
    default:
        // Flush changes nothing: answers leave as soon as their pipeline has run.
        break;
    }
}

void WireSession::parse(WireFields fields)
{
    const std::string name = fields.text();
    m_prepared[name] = fields.text();
    add(PipelineRequest::Parse);
}

void WireSession::bind(WireFields fields)
{
    fields.text();
    m_bound = { m_prepared[fields.text()], {} };
    const int16_t formats = fields.int16();
    fields.bytes(sizeof(int16_t) * static_cast<size_t>(formats));
    const int16_t count = fields.int16();
    for (int16_t n = 0; n < count; ++n) {
        const int32_t length = fields.int32();
        if (length < 0)
            m_bound.parameters.emplace_back(std::nullopt);
        else
            m_bound.parameters.emplace_back(fields.bytes(static_cast<size_t>(length)));
    }
    add(PipelineRequest::Bind);
}

// Only portals are described with their columns: the clients here describe what they have bound.
void WireSession::describe(WireFields fields)
{
    if (fields.bytes(1) == "P")
        add(PipelineRequest::Describe);
}

void WireSession::execute()
{
    add(PipelineRequest::Execute);
    m_gathering.statements.push_back(m_bound);
}

void WireSession::query(WireFields fields)
{
    m_bound = { fields.text(), {} };
    add(PipelineRequest::Describe);
    execute();
    sync();
}

void WireSession::sync()
{
    m_waiting.push_back(std::move(m_gathering));
    m_gathering = {};
    submitNext();
}

void WireSession::add(PipelineRequest request)
{
    m_gathering.messages.push_back({ request, m_gathering.statements.size() });
}

void WireSession::submitNext()
{
    if (m_isRunning || m_waiting.empty())
        return;
    m_isRunning = true;
    m_owner.submitted(*this, m_waiting.front());
}

void WireSession::accept()
{
    writeGreeting(m_output);
    flush();
}

void WireSession::refuse(const std::string& sqlState, const std::string& message)
{
    writeError(m_output, "FATAL", sqlState, message);
    flush();
    close();
}

void WireSession::finish(const PipelineResult& result)
{
    m_isRunning = false;
    m_transaction = result.transaction;
    write(m_waiting.front(), result);
    m_waiting.pop_front();
    flush();
    submitNext();
}

void WireSession::write(const Pipeline& pipeline, const PipelineResult& result)
{
    for (const auto& it : pipeline.messages) {
        if (it.statement >= result.results.size() && it.statement < pipeline.statements.size())
            break;
        writeReply(m_output, it.request, it.statement < result.results.size() ? result.results[it.statement] : StatementResult {});
    }
    if (result.error)
        writeError(m_output, "ERROR", result.error->sqlState, result.error->message);
    writeReadyForQuery(m_output, result.transaction);
}

void WireSession::flush()
{
    if (m_hasEnded)
        return;
    if (m_isSilent)
        m_output.clear();
    size_t sent = 0;
    try {
        while (sent < m_output.size()) {
            const int n = m_socket.sendBytes(m_output.data() + sent, static_cast<int>(m_output.size() - sent));
            if (n <= 0)
                break;
            sent += static_cast<size_t>(n);
        }
    } catch (const Poco::Exception& ec) {
        // The next read tells that a client has gone.
        if (!wouldBlock(ec))
            sent = m_output.size();
    }
    m_output.erase(0, sent);
    const Readiness interest = m_output.empty() ? Readiness::Read : Readiness::Read | Readiness::Write;
    m_loop.watch(m_socket.impl()->sockfd(), interest, [this](Readiness readiness) { ready(readiness); });
}

void WireSession::setFrozen(bool isFrozen)
{
    m_isFrozen = isFrozen;
    if (!isFrozen)
        processInput();
}

void WireSession::close()
{
    if (m_hasEnded)
        return;
    m_hasEnded = true;
    m_isSilent = true;
    m_loop.unwatch(m_socket.impl()->sockfd());
    m_owner.closed(*this);
}

}

#include "wire/load/BackEnd.h"

#include <absl/strings/str_cat.h>
#include <deque>

namespace parsleypaddle::wire {

namespace {

    constexpr const char* host = "127.0.0.1";

    struct Prepared {
        bool isWrite { false };
        std::string shape;
    };

    enum class State { Idle,
        Open,
        Failed };

}

struct BackEnd::Connection {
    std::shared_ptr<TcpStream> stream;
    LineSplitter splitter;
    std::deque<std::string> lines;
    bool isBusy { false };
    bool isOpen { true };
    bool isGreeted { false };
    State state { State::Idle };
    bool isReadOnly { false };
    /// The operation whose transaction is open; 0 until a statement of it with a caller's id has come.
    uint64_t attempt { 0 };
    std::vector<std::string> writes;
    std::map<std::string, std::string> values;
    std::map<std::string, Prepared> prepared;
};

/// An answer without its READY. Empty `error` means success, and an empty `signature` that no COMPLETE is sent.
struct BackEnd::Reply {
    std::vector<std::string> rows;
    std::string signature { "-" };
    std::string error;
    bool closes { false };
};

absl::StatusOr<std::unique_ptr<BackEnd>> BackEnd::create(Group& group, const std::string& id, bool isPrimary, uint16_t port)
{
    std::unique_ptr<BackEnd> backEnd(new BackEnd(group, id, isPrimary));
    auto listener = TcpListener::create(group.loop, host, port, [it = backEnd.get()](std::shared_ptr<TcpStream> stream) { it->accept(std::move(stream)); });
    if (!listener.ok())
        return listener.status();
    backEnd->m_listener = *std::move(listener);
    return backEnd;
}

BackEnd::BackEnd(Group& group, std::string id, bool isPrimary)
    : m_group(group)
    , m_id(std::move(id))
    , m_isPrimary(isPrimary)
{
}

BackEnd::~BackEnd() = default;

void BackEnd::accept(std::shared_ptr<TcpStream> stream)
{
    auto connection = std::make_shared<Connection>();
    connection->stream = stream;
    m_connections[stream.get()] = connection;
    stream->startReceiving(
        [this, weak = std::weak_ptr<Connection>(connection)](std::string_view input) {
            if (const auto it = weak.lock())
                receive(it, input);
            return input.size();
        },
        [this, weak = std::weak_ptr<Connection>(connection)] {
            if (const auto it = weak.lock())
                close(*it);
        });
}

void BackEnd::close(Connection& connection)
{
    if (!connection.isOpen)
        return;
    connection.isOpen = false;
    const auto stream = connection.stream;
    stream->close();
    m_connections.erase(stream.get());
}

void BackEnd::receive(const std::shared_ptr<Connection>& connection, std::string_view input)
{
    connection->splitter.add(input);
    while (true) {
        auto line = connection->splitter.next();
        if (!line.ok()) {
            m_group.ledger.report(Trouble::ChangedText, "a back end received a message that is too long");
            return close(*connection);
        }
        if (!line->has_value())
            break;
        connection->lines.push_back(**std::move(line));
    }
    processNext(connection);
}

void BackEnd::processNext(const std::shared_ptr<Connection>& connection)
{
    if (connection->isBusy || !connection->isOpen || connection->lines.empty())
        return;
    const std::string line = std::move(connection->lines.front());
    connection->lines.pop_front();
    const auto message = parse(line);
    if (!message.ok()) {
        m_group.ledger.report(Trouble::ChangedText, absl::StrCat("a back end received ", printable(line), ": ", std::string(message.status().message())));
        return close(*connection);
    }
    if (message->kind == Kind::Terminate)
        return close(*connection);
    const bool isQuery = message->kind == Kind::Query && connection->isGreeted;
    const Reply reply = isQuery ? run(*connection, message->fields[0], message->fields[1]) : greet(*connection, *message);
    const std::string bytes = encode(*connection, reply);
    if (reply.closes) {
        connection->stream->send(bytes);
        return close(*connection);
    }
    connection->isBusy = true;
    // Some answers take a while, so that second answers meet a pending statement.
    const Milliseconds delay(m_group.texts.oneIn(4) ? static_cast<double>(m_group.texts.below(6)) : 0);
    if (delay == Milliseconds(0))
        return send(connection, bytes);
    m_group.loop.after(delay, [this, connection, bytes] { send(connection, bytes); });
}

void BackEnd::send(const std::shared_ptr<Connection>& connection, const std::string& bytes)
{
    connection->isBusy = false;
    if (!connection->isOpen || !connection->stream->send(bytes))
        return;
    ++m_group.answers;
    if (m_group.secondAnswerEvery > 0 && m_group.answers % m_group.secondAnswerEvery == 0)
        sendAgain(connection, bytes);
    m_group.loop.post([this, connection] { processNext(connection); });
}

void BackEnd::sendAgain(const std::shared_ptr<Connection>& connection, const std::string& bytes)
{
    const Milliseconds delay(static_cast<double>(m_group.texts.below(m_group.texts.oneIn(2) ? 20 : 2000)));
    m_group.loop.after(delay, [this, connection, bytes] {
        if (connection->isOpen && connection->stream->send(bytes))
            ++m_group.secondAnswers;
    });
}

BackEnd::Reply BackEnd::greet(Connection& connection, const Message& message) const
{
    Reply reply;
    reply.signature.clear();
    if (message.kind != Kind::Startup || connection.isGreeted)
        reply.error = "MALFORMED expected-STARTUP";
    else if (message.fields[0] != m_group.service || (message.fields.size() > 2 && message.fields[2] != m_id))
        reply.error = "MISROUTED " + m_id;
    else if (m_connections.size() > m_group.maxConnections)
        reply.error = "TOOMANY " + m_id;
    reply.closes = !reply.error.empty();
    connection.isGreeted = !reply.closes;
    return reply;
}

BackEnd::Reply BackEnd::run(Connection& connection, const std::string& id, const std::string& text)
{
    const auto statement = parseStatement(text);
    if (!statement.ok()) {
        m_group.ledger.report(Trouble::ChangedText, absl::StrCat("id ", printable(id), " text ", printable(text), ": ", std::string(statement.status().message())));
        return { {}, "-", "MALFORMED unknown", false };
    }
    const auto prepared = connection.prepared.find(statement->name);
    const bool isBegin = statement->kind == StatementKind::Begin || statement->kind == StatementKind::BeginRead;
    Sent sent;
    sent.text = canonicalText(*statement, prepared == connection.prepared.end() ? "" : prepared->second.shape);
    sent.isInTransaction = connection.state != State::Idle || isBegin;
    if (sent.isInTransaction && connection.attempt == 0)
        connection.attempt = m_group.ledger.attemptOf(id);
    sent.attempt = connection.attempt;
    sent.values = textOfValues(connection.values);
    const bool isUnknownName = statement->kind == StatementKind::Execute && prepared == connection.prepared.end();
    const bool isHarmless = statement->kind == StatementKind::Set || statement->kind == StatementKind::PrepareRead || statement->kind == StatementKind::PrepareWrite || statement->kind == StatementKind::Deallocate;
    if (id == "-" || (!isUnknownName && !isHarmless))
        m_group.ledger.run(id, sent);
    if (connection.state == State::Failed && statement->kind != StatementKind::Rollback && statement->kind != StatementKind::Commit)
        return { {}, "-", "MALFORMED failed-transaction", false };
    Reply reply = runChecked(connection, id, *statement);
    if (!reply.error.empty() && connection.state == State::Open)
        connection.state = State::Failed;
    return reply;
}

BackEnd::Reply BackEnd::runChecked(Connection& connection, const std::string& id, const Statement& statement)
{
    switch (statement.kind) {
    case StatementKind::Begin:
    case StatementKind::BeginRead:
        return begin(connection, statement);
    case StatementKind::Commit:
    case StatementKind::Rollback:
        return end(connection, id, statement.kind == StatementKind::Commit);
    case StatementKind::Read:
        return read(connection, id, statement);
    case StatementKind::Write:
        return write(connection, id);
    case StatementKind::Execute: {
        const auto it = connection.prepared.find(statement.name);
        if (it == connection.prepared.end())
            return { {}, "-", "NOSTMT unknown", false };
        if (it->second.isWrite && !statement.after.empty()) {
            m_group.ledger.report(Trouble::ChangedText, "AFTER precedes a write, id " + id);
            return { {}, "-", "MALFORMED after-before-write", false };
        }
        return it->second.isWrite ? write(connection, id) : read(connection, id, statement);
    }
    case StatementKind::PrepareRead:
    case StatementKind::PrepareWrite:
        connection.prepared[statement.name] = { statement.kind == StatementKind::PrepareWrite, statement.rest };
        return {};
    case StatementKind::Deallocate:
        return connection.prepared.erase(statement.name) > 0 ? Reply {} : Reply { {}, "-", "NOSTMT unknown", false };
    case StatementKind::Set:
        connection.values[statement.name] = statement.rest;
        return {};
    case StatementKind::Reset:
        connection.values.clear();
        connection.prepared.clear();
        return {};
    default:
        return status(statement.kind == StatementKind::Status);
    }
}

BackEnd::Reply BackEnd::begin(Connection& connection, const Statement& statement) const
{
    const bool isReadOnly = statement.kind == StatementKind::BeginRead;
    if (connection.state != State::Idle)
        return { {}, "-", "MALFORMED in-a-transaction", false };
    if (!m_isPrimary && !isReadOnly)
        return { {}, "-", "READONLY " + m_id, false };
    if (isLagging(statement.after))
        return { {}, "-", "LAGGING " + m_id, false };
    connection.state = State::Open;
    connection.isReadOnly = isReadOnly;
    return {};
}

BackEnd::Reply BackEnd::read(Connection& connection, const std::string& id, const Statement& statement)
{
    if (isLagging(statement.after))
        return { {}, "-", "LAGGING " + m_id, false };
    if (connection.state == State::Idle && m_group.texts.oneIn(60))
        return { {}, "-", "BUSY " + m_id, false };
    return signedReply(id, drawRows());
}

BackEnd::Reply BackEnd::write(Connection& connection, const std::string& id)
{
    if (!m_isPrimary || connection.isReadOnly)
        return { {}, "-", "READONLY " + m_id, false };
    if (connection.state == State::Open) {
        connection.writes.push_back(id);
        return signedReply(id, {});
    }
    if (m_group.texts.oneIn(60))
        return { {}, "-", "BUSY " + m_id, false };
    ++m_group.number;
    m_group.ledger.commit(id);
    return signedReply(id, {});
}

BackEnd::Reply BackEnd::end(Connection& connection, const std::string& id, bool isCommit)
{
    const bool isKept = isCommit && connection.state == State::Open;
    for (const auto& it : connection.writes) {
        if (isKept)
            m_group.ledger.commit(it);
    }
    if (isKept && !connection.writes.empty())
        ++m_group.number;
    const bool wasIdle = connection.state == State::Idle;
    connection.state = State::Idle;
    connection.isReadOnly = false;
    connection.attempt = 0;
    connection.writes.clear();
    if (isKept)
        return signedReply(id, {});
    if (wasIdle)
        return { {}, "-", "MALFORMED no-transaction", false };
    return isCommit ? Reply { {}, "-", "ABORTED rolled-back", false } : Reply {};
}

BackEnd::Reply BackEnd::signedReply(const std::string& id, std::vector<std::string> rows)
{
    Reply reply;
    reply.signature = absl::StrCat(m_group.term, ".", absl::Hex(++m_group.lastSignature), ".", m_group.texts.id());
    reply.rows = std::move(rows);
    m_group.ledger.answer(id, reply.signature, reply.rows);
    return reply;
}

BackEnd::Reply BackEnd::status(bool isBusy) const
{
    Reply reply;
    reply.rows = { absl::StrCat(m_isPrimary ? "primary " : "replica ", m_group.term, " ", m_group.term, ".", m_group.number, " 0 0 ", isBusy ? 1 : 0, " ", m_connections.size()) };
    return reply;
}

bool BackEnd::isLagging(const std::string& after) const
{
    const size_t dot = after.find('.');
    return dot != std::string::npos && std::stoull("0" + after.substr(dot + 1)) > m_group.number;
}

std::vector<std::string> BackEnd::drawRows()
{
    constexpr size_t longRow = size_t { 1000 } * 1000;
    if (m_group.texts.oneIn(1500))
        return { m_group.texts.longText(m_group.texts.below(longRow)) };
    std::vector<std::string> rows(m_group.texts.below(4));
    for (auto& it : rows)
        it = m_group.texts.text(40);
    return rows;
}

std::string BackEnd::encode(const Connection& connection, const Reply& reply) const
{
    std::vector<Message> messages;
    for (const auto& it : reply.rows)
        messages.push_back({ Kind::DataRow, { it } });
    if (!reply.error.empty()) {
        const size_t blank = reply.error.find(' ');
        messages.push_back({ Kind::Error, { reply.error.substr(0, blank), reply.error.substr(blank + 1) } });
    } else if (!reply.signature.empty()) {
        messages.push_back({ Kind::Complete, { reply.signature } });
    }
    const char* states[] = { "I", "T", "E" };
    if (!reply.closes)
        messages.push_back({ Kind::Ready, { states[static_cast<int>(connection.state)], absl::StrCat(m_group.term, ".", m_group.number) } });
    std::string bytes;
    for (const auto& it : messages)
        bytes += wire::write(it).value();
    return bytes;
}

}

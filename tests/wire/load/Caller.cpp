#include "wire/load/Caller.h"

#include <absl/strings/str_cat.h>

namespace parsleypaddle::wire {

namespace {

    constexpr const char* host = "127.0.0.1";
    constexpr const char* databases[] = { "orders", "proofs", "prices" };
    constexpr Milliseconds answerTimeout { 6000 };
    constexpr Milliseconds pauseAfterFailure { 50 };

    bool isPromise(const std::string& code)
    {
        static const std::set<std::string> codes { "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY" };
        return codes.count(code) > 0;
    }

    bool isSigned(StatementKind kind)
    {
        return kind == StatementKind::Read || kind == StatementKind::Write || kind == StatementKind::Execute || kind == StatementKind::Commit;
    }

}

void Caller::start()
{
    if (m_group.isStopping)
        return;
    m_operationsLeft = m_group.texts.oneIn(3) ? 1 : 1 + m_group.texts.below(60);
    const uint16_t port = m_group.ports[m_group.texts.below(m_group.ports.size())];
    auto stream = TcpStream::connect(m_group.loop, host, port);
    if (!stream.ok()) {
        ++m_group.broken;
        return setTimer(pauseAfterFailure, &Caller::start);
    }
    m_stream = *std::move(stream);
    m_stream->startReceiving(
        [this](std::string_view input) {
            receive(input);
            return input.size();
        },
        [this] { breakSession(); });
    setTimer(answerTimeout, &Caller::breakSession);
    m_stream->send(wire::write({ Kind::Startup, { databases[m_group.texts.below(3)], "caller" } }).value());
}

void Caller::receive(std::string_view input)
{
    const auto stream = m_stream;
    m_splitter.add(input);
    while (m_stream == stream && stream) {
        const auto line = m_splitter.next();
        if (!line.ok())
            return reportWrong("a message that is too long");
        if (!line->has_value())
            return;
        const auto message = parse(**line);
        if (!message.ok())
            return reportWrong(absl::StrCat("message ", printable(**line), ": ", std::string(message.status().message())));
        processMessage(*message);
    }
}

void Caller::processMessage(const Message& message)
{
    if (m_isGreeted && m_id.empty()) {
        if (message.kind == Kind::Error)
            return breakSession();
        return reportWrong("a message while no request is outstanding");
    }
    switch (message.kind) {
    case Kind::DataRow:
        if (!m_isGreeted || !m_signature.empty() || !m_error.empty())
            return reportWrong("a row out of place");
        m_rows.push_back(message.fields[0]);
        return;
    case Kind::Complete:
    case Kind::Error:
        if (!m_signature.empty() || !m_error.empty() || (!m_isGreeted && message.kind == Kind::Complete))
            return reportWrong("a second end of an answer");
        (message.kind == Kind::Complete ? m_signature : m_error) = message.fields[0];
        return;
    case Kind::Ready:
        return finishRequest(message);
    default:
        return reportWrong("a message that only callers send");
    }
}

void Caller::finishRequest(const Message& ready)
{
    clearTimer();
    if (!m_isGreeted) {
        if (ready.fields[0] != "I")
            return reportWrong("a new session that is not idle");
        m_isGreeted = true;
        return sendNext();
    }
    if (m_error.empty() && m_signature.empty())
        return reportWrong("an answer without COMPLETE or ERROR");
    if (!m_error.empty())
        finishError();
    else if (isSigned(m_step.kind) && !m_group.ledger.isAnswer(m_id, m_signature, m_rows))
        return reportWrong(absl::StrCat("id ", m_id, " text ", printable(m_step.text), " signature ", printable(m_signature), " rows ", m_rows.size()));
    else if (!isSigned(m_step.kind) && (m_signature != "-" || !m_rows.empty()))
        return reportWrong(absl::StrCat("id ", m_id, " text ", printable(m_step.text), " has a signature or rows"));
    else
        finishSuccess(ready.fields[0]);
    if (!m_stream)
        return;
    const bool isFailed = !m_error.empty() || m_step.kind == StatementKind::Rollback;
    m_id.clear();
    m_rows.clear();
    m_signature.clear();
    m_error.clear();
    if (isFailed && ready.fields[0] == "I")
        m_steps.clear();
    else if (isFailed)
        m_steps = { { StatementKind::Rollback, "ROLLBACK" } };
    pause();
}

void Caller::finishError()
{
    ++m_group.refused;
    ++m_group.codes[m_error];
    if (isPromise(m_error))
        m_group.ledger.promise(m_attempt);
    const bool wasPreparation = m_step.kind == StatementKind::Set || m_step.kind == StatementKind::PrepareRead || m_step.kind == StatementKind::PrepareWrite;
    if (wasPreparation || m_step.kind == StatementKind::Rollback)
        closeSession(pauseAfterFailure);
}

void Caller::finishSuccess(const std::string& state)
{
    ++m_group.served;
    const bool isEnd = m_step.kind == StatementKind::Commit || m_step.kind == StatementKind::Rollback;
    if (state != (m_isInTransaction && !isEnd ? "T" : "I"))
        return reportWrong(absl::StrCat("id ", m_id, " text ", printable(m_step.text), " in state ", state));
}

void Caller::pause()
{
    if (!m_steps.empty() && m_group.texts.oneIn(40) && m_isInTransaction)
        return closeSession(Milliseconds(1));
    const bool isLong = m_group.texts.oneIn(30);
    setTimer(Milliseconds(static_cast<double>(m_group.texts.below(isLong ? 400 : 6))), &Caller::sendNext);
}

void Caller::sendNext()
{
    if (m_steps.empty()) {
        m_isInTransaction = false;
        if (m_operationsLeft == 0 || m_group.isStopping)
            return closeSession(Milliseconds(1));
        --m_operationsLeft;
        m_attempt = ++m_group.lastAttempt;
        drawOperation();
    }
    const Step step = std::move(m_steps.back());
    m_steps.pop_back();
    sendStep(step);
}

void Caller::sendStep(const Step& step)
{
    m_step = step;
    m_id = m_group.texts.id();
    const auto statement = parseStatement(step.text).value();
    const bool isPreparation = step.kind == StatementKind::Set || step.kind == StatementKind::PrepareRead || step.kind == StatementKind::PrepareWrite;
    const auto prepared = m_prepared.find(statement.name);
    Sent sent;
    sent.text = canonicalText(statement, prepared == m_prepared.end() ? "" : prepared->second.shape);
    sent.attempt = m_attempt;
    sent.isInTransaction = m_isInTransaction;
    if (step.kind == StatementKind::Set)
        m_values[statement.name] = statement.rest;
    if (isPreparation)
        m_group.ledger.allowRepeat(sent.text);
    sent.values = textOfValues(m_values);
    m_group.ledger.add(m_id, sent);
    setTimer(answerTimeout, &Caller::breakSession);
    m_stream->send(wire::write({ Kind::Query, { m_id, step.text } }).value());
}

void Caller::drawOperation()
{
    const bool isOften = m_group.preparesOften;
    if (!isOften && m_group.texts.oneIn(25)) {
        const std::string name = m_group.texts.oneIn(2) ? "locale" : "zone";
        m_steps = { { StatementKind::Set, absl::StrCat("SET ", name, " ", m_group.texts.text(20)) } };
    } else if (m_group.texts.oneIn(isOften ? 3 : 20)) {
        const std::string name = absl::StrCat("s", m_group.texts.below(isOften ? 6 : 1000000));
        Prepared prepared { m_group.texts.oneIn(2), m_group.texts.text(12) };
        m_steps = { { prepared.isWrite ? StatementKind::PrepareWrite : StatementKind::PrepareRead, absl::StrCat("PREPARE ", name, prepared.isWrite ? " WRITE " : " READ ", prepared.shape) } };
        m_prepared[name] = std::move(prepared);
    } else if (m_group.texts.oneIn(isOften ? 2 : 5)) {
        drawTransaction();
    } else {
        m_steps = { drawStep(true) };
    }
}

void Caller::drawTransaction()
{
    const bool isReadOnly = m_group.texts.oneIn(3);
    m_isInTransaction = true;
    m_steps = { m_group.texts.oneIn(5) ? Step { StatementKind::Rollback, "ROLLBACK" } : Step { StatementKind::Commit, "COMMIT" } };
    for (size_t n = 1 + m_group.texts.below(5); n > 0; --n)
        m_steps.push_back(drawStep(!isReadOnly));
    m_steps.push_back(isReadOnly ? Step { StatementKind::BeginRead, "BEGIN READ" } : Step { StatementKind::Begin, "BEGIN" });
}

Caller::Step Caller::drawStep(bool canWrite)
{
    RandomTexts& texts = m_group.texts;
    if (!m_prepared.empty() && (m_group.preparesOften || texts.oneIn(4)))
        return drawExecute(canWrite);
    if (!canWrite || texts.oneIn(2))
        return { StatementKind::Read, absl::StrCat("READ ", texts.text(20)) };
    constexpr size_t longData = size_t { 1000 } * 1000;
    const std::string data = texts.oneIn(1500) ? texts.longText(texts.below(longData)) : texts.text(60);
    return { StatementKind::Write, withoutLineEnds(absl::StrCat("WRITE ", texts.word(12), " ", data)) };
}

Caller::Step Caller::drawExecute(bool canWrite)
{
    auto it = std::next(m_prepared.begin(), static_cast<std::ptrdiff_t>(m_group.texts.below(m_prepared.size())));
    if (it->second.isWrite && !canWrite)
        return { StatementKind::Read, absl::StrCat("READ ", m_group.texts.text(20)) };
    std::string text = absl::StrCat("EXECUTE ", it->first, " ", m_group.texts.word(12));
    if (it->second.isWrite)
        absl::StrAppend(&text, " ", m_group.texts.text(40));
    return { StatementKind::Execute, text };
}

void Caller::closeSession(Milliseconds pause)
{
    clearTimer();
    const auto stream = std::move(m_stream);
    m_stream = nullptr;
    if (stream)
        stream->close();
    m_splitter = {};
    m_isGreeted = false;
    m_isInTransaction = false;
    m_values.clear();
    m_prepared.clear();
    m_steps.clear();
    m_id.clear();
    m_rows.clear();
    m_signature.clear();
    m_error.clear();
    setTimer(pause, &Caller::start);
}

void Caller::breakSession()
{
    if (!m_isGreeted && !m_error.empty())
        ++m_group.codes[m_error];
    // A close of an idle session costs nobody an answer.
    if (!m_isGreeted || !m_id.empty() || m_isInTransaction)
        ++m_group.broken;
    closeSession(pauseAfterFailure);
}

void Caller::reportWrong(const std::string& what)
{
    m_group.ledger.report(Trouble::WrongAnswer, what);
    closeSession(pauseAfterFailure);
}

void Caller::setTimer(Milliseconds delay, void (Caller::*task)())
{
    clearTimer();
    m_timer = m_group.loop.after(delay, [this, task] {
        m_timer = TimerId::None;
        (this->*task)();
    });
}

void Caller::clearTimer()
{
    m_group.loop.cancel(m_timer);
    m_timer = TimerId::None;
}

}

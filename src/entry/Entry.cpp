#include "entry/Entry.h"

#include "configuration/PolicySettings.h"
#include "entry/ReadExecution.h"
#include "entry/TransactionStepExecution.h"
#include "entry/WriteExecution.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace parsleypaddle {

namespace {

    constexpr size_t timestampDigits = 13;

    StatementAnswer makeErrorAnswer(const RequestId& id, const absl::Status& status)
    {
        StatementAnswer answer;
        answer.id = id;
        answer.code = resultCodeOf(status);
        answer.message = std::string(status.message());
        return answer;
    }

}

Entry::Entry(EntryContext context)
    : m_context(std::move(context))
{
}

void Entry::setConfiguration(std::shared_ptr<const Configuration> configuration)
{
    m_context.configuration = std::move(configuration);
}

void Entry::handleRequest(StatementRequest request, Done done)
{
    const GroupConfiguration* group = m_context.configuration ? m_context.configuration->findGroup(request.database) : nullptr;
    if (auto status = validate(request, group); !status.ok())
        return done(makeErrorAnswer(request.id, status));
    SessionState session;
    if (!request.token.empty()) {
        auto opened = m_context.sealer.verify(request.organisation, request.session, request.token);
        if (!opened.ok())
            return done(makeErrorAnswer(request.id, opened.status()));
        session = std::move(*opened);
    }
    startExecution(std::move(request), std::move(session), { m_context.configuration, group }, std::move(done));
}

absl::Status Entry::validate(const StatementRequest& request, const GroupConfiguration* group) const
{
    if (!m_context.configuration)
        return makeError(ResultCode::PlatformUnavailable, "this daemon has no configuration yet");
    if (!group)
        return makeError(ResultCode::UnknownDatabase, absl::StrCat("no database ", request.database.value(), " is configured"));
    if (!m_context.configuration->findClass(request.workload))
        return makeError(ResultCode::UnknownClass, absl::StrCat("no workload class ", request.workload.value(), " is configured"));
    if (request.deadline != Instant() && request.deadline <= m_context.loop.now())
        return makeError(ResultCode::DeadlinePassed, "the deadline had passed when the request arrived");
    if (!request.token.empty() && request.session.isEmpty())
        return makeError(ResultCode::TokenInvalid, "the request has a session token but no session id");
    return request.mode == AccessMode::Write ? validateAge(request.id) : absl::OkStatus();
}

// The ledger deletes old entries, so a repeated write with an older id would not be recognized as a duplicate.
absl::Status Entry::validateAge(const RequestId& id) const
{
    double time = 0;
    if (!absl::SimpleAtod(id.value().substr(0, timestampDigits), &time))
        return makeError(ResultCode::ValueOutOfRange, "request_id does not start with a 13-digit Unix time in milliseconds");
    const Milliseconds age = m_context.loop.now() - Instant(time);
    if (age > m_context.settings.requestLifetime)
        return makeError(ResultCode::RequestExpired, absl::StrCat("the request id is ", age.count(), " ms old, which is older than ledger entries are kept"));
    if (age < Milliseconds(0) - m_context.settings.clockTolerance)
        return makeError(ResultCode::ValueOutOfRange, "the time in request_id is ahead of this daemon's clock by more than the tolerance");
    return absl::OkStatus();
}

void Entry::startExecution(StatementRequest request, SessionState session, std::shared_ptr<const GroupConfiguration> group, Done done)
{
    const Instant now = m_context.loop.now();
    const Policy policy = resolvePolicy(*m_context.configuration, request.organisation, request.database, request.workload, now);
    if (request.deadline == Instant())
        request.deadline = now + policy.deadline;
    ++m_inFlight;
    auto counted = [this, done = std::move(done)](StatementAnswer answer) {
        --m_inFlight;
        done(std::move(answer));
    };
    std::shared_ptr<RequestExecution> execution;
    if (request.transaction)
        execution = std::make_shared<TransactionStepExecution>(m_context, std::move(request), std::move(session), std::move(group), policy, counted);
    else if (request.mode == AccessMode::Write)
        execution = std::make_shared<WriteExecution>(m_context, std::move(request), std::move(session), std::move(group), policy, counted);
    else
        execution = std::make_shared<ReadExecution>(m_context, std::move(request), std::move(session), std::move(group), policy, counted);
    execution->start();
}

}

#include "pq/PqConnector.h"

#include "base/ResultCode.h"
#include "pq/PqConnection.h"

#include <absl/strings/str_cat.h>
#include <array>
#include <unordered_map>

namespace parsleypaddle {

namespace {

    void ignoreNotice(void*, const char*)
    {
    }

    PqHandle startConnecting(const TargetAddress& address, const PqSettings& settings)
    {
        const std::string port = std::to_string(address.port);
        const std::array<const char*, 8> keywords { "hostaddr", "port", "user", "dbname", "application_name", "sslmode", "gssencmode", nullptr };
        const std::array<const char*, 8> values { address.host.c_str(), port.c_str(), settings.user.c_str(), settings.database.c_str(),
            settings.applicationName.c_str(), "disable", "disable", nullptr };
        PqHandle handle(PQconnectStartParams(keywords.data(), values.data(), 0));
        if (handle)
            PQsetNoticeProcessor(handle.get(), ignoreNotice, nullptr);
        return handle;
    }

    bool prepare(PGconn* connection)
    {
        return PQsetnonblocking(connection, 1) == 0 && PQenterPipelineMode(connection) == 1;
    }

    /// A connection that is being opened.
    struct Attempt {
        std::string name;
        PqHandle handle;
        std::unique_ptr<WatchedSocket> socket;
        TimerId timeout { TimerId::None };
        TargetConnector::Done done;
    };

    class LibpqConnector final : public TargetConnector {
    public:
        LibpqConnector(PollLoop& loop, PqSettings settings)
            : m_loop(loop)
            , m_settings(std::move(settings))
        {
        }

        ~LibpqConnector() override
        {
            for (const auto& it : m_attempts)
                m_loop.cancel(it.second.timeout);
        }

        void connect(const TargetConfiguration& target, const OrganisationId&, Milliseconds timeout, Done done) override
        {
            const uint64_t id = ++m_lastAttempt;
            Attempt& attempt = m_attempts[id];
            attempt.name = target.id.value();
            attempt.done = std::move(done);
            attempt.handle = startConnecting(target.address, m_settings);
            if (!attempt.handle || PQstatus(attempt.handle.get()) == CONNECTION_BAD) {
                attempt.timeout = m_loop.after(Milliseconds(0), [this, id] { fail(id, "the connection could not be started"); });
                return;
            }
            attempt.timeout = m_loop.after(timeout, [this, id] { fail(id, "no answer to the connection attempt"); });
            attempt.socket = std::make_unique<WatchedSocket>(m_loop, PQsocket(attempt.handle.get()));
            attempt.socket->watch(Readiness::Write, [this, id](Readiness) { proceed(id); });
        }

    private:
        void proceed(uint64_t id)
        {
            Attempt& attempt = m_attempts.at(id);
            switch (PQconnectPoll(attempt.handle.get())) {
            case PGRES_POLLING_OK:
                succeed(id);
                return;
            case PGRES_POLLING_READING:
                attempt.socket->setInterest(Readiness::Read);
                return;
            case PGRES_POLLING_WRITING:
                attempt.socket->setInterest(Readiness::Write);
                return;
            default:
                fail(id, PQerrorMessage(attempt.handle.get()));
            }
        }

        void succeed(uint64_t id)
        {
            Attempt attempt = take(id);
            if (!prepare(attempt.handle.get())) {
                attempt.done(makeError(ResultCode::TargetUnreachable, attempt.name + " opened no pipeline"));
                return;
            }
            attempt.done(PqConnection::create(m_loop, attempt.name, std::move(attempt.handle), std::move(attempt.socket)));
        }

        void fail(uint64_t id, const std::string& reason)
        {
            Attempt attempt = take(id);
            attempt.socket.reset();
            attempt.done(makeError(ResultCode::TargetUnreachable, absl::StrCat(attempt.name, ": ", reason)));
        }

        Attempt take(uint64_t id)
        {
            Attempt attempt = std::move(m_attempts.at(id));
            m_attempts.erase(id);
            m_loop.cancel(attempt.timeout);
            return attempt;
        }

        PollLoop& m_loop;
        PqSettings m_settings;
        uint64_t m_lastAttempt { 0 };
        std::unordered_map<uint64_t, Attempt> m_attempts;
    };

}

std::unique_ptr<TargetConnector> PqConnector::create(PollLoop& loop, PqSettings settings)
{
    return std::make_unique<LibpqConnector>(loop, std::move(settings));
}

}

#include "overhead/LoadClients.h"
#include "pq/PqHandle.h"
#include "pq/WatchedSocket.h"

#include <array>

namespace parsleypaddle {

namespace {

    constexpr const char* readText = "SELECT value FROM records WHERE key = $1";
    constexpr const char* writeText = "INSERT INTO records (key, value) VALUES ($1, $2)";

    PqHandle startConnecting(const LoadAddress& address)
    {
        const std::string port = std::to_string(address.port);
        const std::array<const char*, 6> keywords { "hostaddr", "port", "user", "sslmode", "gssencmode", nullptr };
        const std::array<const char*, 6> values { address.host.c_str(), port.c_str(), "overhead", "disable", "disable", nullptr };
        return PqHandle(PQconnectStartParams(keywords.data(), values.data(), 0));
    }

    class DirectClient {
    public:
        DirectClient(PollLoop& loop, LoadMeter& meter, const LoadPlan& plan)
            : m_meter(meter)
            , m_statement(plan.statement)
            , m_handle(startConnecting(plan.address))
            , m_socket(loop, PQsocket(m_handle.get()))
        {
            m_socket.watch(Readiness::Write, [this](Readiness) { connect(); });
        }

    private:
        void connect()
        {
            switch (PQconnectPoll(m_handle.get())) {
            case PGRES_POLLING_OK:
                PQsetnonblocking(m_handle.get(), 1);
                m_socket.watch(Readiness::Read, [this](Readiness) { receive(); });
                send();
                break;
            case PGRES_POLLING_READING:
                m_socket.setInterest(Readiness::Read);
                break;
            case PGRES_POLLING_WRITING:
                m_socket.setInterest(Readiness::Write);
                break;
            default:
                fail();
            }
        }

        void send()
        {
            const std::array<const char*, 2> values { "key", "value" };
            const bool isRead = m_statement == LoadStatement::Read;
            m_start = m_meter.now();
            if (PQsendQueryParams(m_handle.get(), isRead ? readText : writeText, isRead ? 1 : 2, nullptr, values.data(), nullptr, nullptr, 0) != 1)
                fail();
        }

        void receive()
        {
            if (PQconsumeInput(m_handle.get()) != 1) {
                fail();
                return;
            }
            while (!PQisBusy(m_handle.get())) {
                const PqResult result(PQgetResult(m_handle.get()));
                if (!result) {
                    next();
                    return;
                }
                m_isOk = PQresultStatus(result.get()) == PGRES_TUPLES_OK || PQresultStatus(result.get()) == PGRES_COMMAND_OK;
            }
        }

        void next()
        {
            if (m_isOk)
                m_meter.recordDone(m_start);
            else
                m_meter.recordFailure(PQerrorMessage(m_handle.get()));
            if (!m_meter.isOver())
                send();
        }

        void fail()
        {
            m_meter.recordFailure(PQerrorMessage(m_handle.get()));
            m_socket.setInterest(Readiness::None);
        }

        LoadMeter& m_meter;
        LoadStatement m_statement;
        PqHandle m_handle;
        WatchedSocket m_socket;
        Instant m_start;
        bool m_isOk { false };
    };

    class DirectClients final : public LoadClients {
    public:
        DirectClients(PollLoop& loop, LoadMeter& meter, const LoadPlan& plan)
        {
            for (size_t n = 0; n < plan.connections; ++n)
                m_clients.push_back(std::make_unique<DirectClient>(loop, meter, plan));
        }

    private:
        std::vector<std::unique_ptr<DirectClient>> m_clients;
    };

}

std::unique_ptr<LoadClients> LoadClients::straightToTarget(PollLoop& loop, LoadMeter& meter, const LoadPlan& plan)
{
    return std::make_unique<DirectClients>(loop, meter, plan);
}

}

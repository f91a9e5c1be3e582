#include "overhead/CurlMulti.h"
#include "overhead/LoadClients.h"

#include <absl/strings/str_cat.h>

namespace parsleypaddle {

namespace {

    constexpr const char* doneMark = "\"outcome\":\"done\"";

    size_t appendBody(char* data, size_t, size_t count, void* body)
    {
        static_cast<std::string*>(body)->append(data, count);
        return count;
    }

    struct DaemonClient {
        size_t number { 0 };
        uint64_t requests { 0 };
        CURL* transfer { nullptr };
        std::string request;
        std::string answer;
        Instant start;
    };

    class DaemonClients final : public LoadClients {
    public:
        DaemonClients(PollLoop& loop, LoadMeter& meter, const LoadPlan& plan)
            : m_meter(meter)
            , m_plan(plan)
            , m_url(absl::StrCat("http://", plan.address.host, ":", plan.address.port, "/v1/statements"))
            , m_headers(curl_slist_append(curl_slist_append(nullptr, "Content-Type: application/json"), "Expect:"))
            , m_multi(loop, plan.connections, [this](CURL* transfer, CURLcode code) { finish(transfer, code); })
            , m_clients(plan.connections)
        {
            for (size_t n = 0; n < m_clients.size(); ++n)
                start(m_clients[n], n);
        }

        ~DaemonClients() override
        {
            for (auto& it : m_clients) {
                m_multi.remove(it.transfer);
                curl_easy_cleanup(it.transfer);
            }
            curl_slist_free_all(m_headers);
        }

    private:
        void start(DaemonClient& client, size_t number)
        {
            client.number = number;
            client.transfer = curl_easy_init();
            curl_easy_setopt(client.transfer, CURLOPT_URL, m_url.c_str());
            curl_easy_setopt(client.transfer, CURLOPT_HTTPHEADER, m_headers);
            curl_easy_setopt(client.transfer, CURLOPT_WRITEFUNCTION, appendBody);
            curl_easy_setopt(client.transfer, CURLOPT_WRITEDATA, &client.answer);
            curl_easy_setopt(client.transfer, CURLOPT_PRIVATE, &client);
            send(client);
        }

        void send(DaemonClient& client)
        {
            client.start = m_meter.now();
            client.request = requestOf(client);
            client.answer.clear();
            curl_easy_setopt(client.transfer, CURLOPT_POSTFIELDS, client.request.c_str());
            curl_easy_setopt(client.transfer, CURLOPT_POSTFIELDSIZE, static_cast<long>(client.request.size()));
            m_multi.add(client.transfer);
        }

        std::string requestOf(DaemonClient& client) const
        {
            const auto milliseconds = static_cast<uint64_t>(m_meter.now().sinceEpoch());
            const std::string id = absl::StrCat(milliseconds, "-o", m_plan.worker, "-", client.number, "-", ++client.requests);
            const char* work = m_plan.statement == LoadStatement::Read
                ? R"json("mode":"read","statement":"SELECT value FROM records WHERE key = $1","parameters":["key"])json"
                : R"json("mode":"write","statement":"INSERT INTO records (key, value) VALUES ($1, $2)","parameters":["key","value"])json";
            return absl::StrCat(R"({"version":1,"shop":"overhead","deadline_ms":5000,"request_id":")", id, R"(","class":"counter","database":"orders-1",)", work, "}");
        }

        void finish(CURL* transfer, CURLcode code)
        {
            DaemonClient* client = nullptr;
            curl_easy_getinfo(transfer, CURLINFO_PRIVATE, &client);
            if (code != CURLE_OK)
                m_meter.recordFailure(curl_easy_strerror(code));
            else if (client->answer.find(doneMark) == std::string::npos)
                m_meter.recordFailure(client->answer);
            else
                m_meter.recordDone(client->start);
            if (!m_meter.isOver())
                send(*client);
        }

        LoadMeter& m_meter;
        LoadPlan m_plan;
        std::string m_url;
        curl_slist* m_headers;
        CurlMulti m_multi;
        std::vector<DaemonClient> m_clients;
    };

}

std::unique_ptr<LoadClients> LoadClients::throughDaemon(PollLoop& loop, LoadMeter& meter, const LoadPlan& plan)
{
    return std::make_unique<DaemonClients>(loop, meter, plan);
}

}

#include "gateway_load/LoadRun.h"

#include "peers/PeerClient.h"
#include "statements/StatementJson.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <absl/strings/str_cat.h>
#include <array>
#include <atomic>
#include <ctime>
#include <curl/curl.h>
#include <fstream>
#include <thread>
#include <unistd.h>

namespace parsleypaddle {

namespace {

    constexpr double millisecondsPerSecond = 1e3;
    constexpr double nanosecondsPerMillisecond = 1e6;
    constexpr const char* peerKey = "peer-key";

    /// The processor time that the calling thread has used.
    Milliseconds threadTime()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return Milliseconds(static_cast<double>(time.tv_sec) * millisecondsPerSecond + static_cast<double>(time.tv_nsec) / nanosecondsPerMillisecond);
    }

    uint64_t residentBytes()
    {
        std::ifstream file("/proc/self/statm");
        uint64_t total = 0;
        uint64_t resident = 0;
        file >> total >> resident;
        return resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
    }

    StatementAnswer echoOf(const StatementRequest& request)
    {
        StatementAnswer answer;
        answer.id = request.id;
        answer.code = ResultCode::Done;
        answer.rows.columns = { "parameter" };
        answer.rows.values = { request.statement.parameters };
        return answer;
    }

    GatewayHandlers echoHandlers(PollLoop& loop)
    {
        GatewayHandlers handlers;
        handlers.onStatement = [&loop](const StatementRequest& request, const std::function<void(StatementAnswer)>& answer) {
            loop.after(Milliseconds(0), [given = echoOf(request), answer] { answer(given); });
        };
        handlers.onPage = [](const std::string& path) { return path == "/health" ? std::optional(Page { 200, "text/plain", "ok\n" }) : std::nullopt; };
        return handlers;
    }

    std::string requestBody(const std::string& suffix, size_t parameterBytes)
    {
        return absl::StrCat(R"({"version":1,"shop":"s","session":"c","class":"k","database":"d","statement":"select $1","mode":"read","deadline_ms":5000,)",
            R"("request_id":"1700000000000-)", suffix, R"(","parameters":[")", std::string(parameterBytes, 'x'), "\"]}");
    }

    size_t appendAnswer(char* data, size_t size, size_t count, void* text)
    {
        static_cast<std::string*>(text)->append(data, size * count);
        return size * count;
    }

    /// One caller: returns how many of its requests had no right answer.
    uint64_t runCaller(uint16_t port, unsigned caller, const LoadPlan& plan)
    {
        uint64_t failed = 0;
        CURL* curl = curl_easy_init();
        const std::string url = absl::StrCat("http://127.0.0.1:", port, "/v1/statements");
        std::string received;
        curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
        curl_easy_setopt(curl, CURLOPT_PROXY, "");
        curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, appendAnswer);
        curl_easy_setopt(curl, CURLOPT_WRITEDATA, &received);
        for (unsigned n = 0; n < plan.requestsEach; ++n) {
            const std::string id = absl::StrCat(caller, "_", n);
            const std::string body = requestBody(id, plan.parameterBytes);
            curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
            curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.data());
            received.clear();
            const bool isRight = curl_easy_perform(curl) == CURLE_OK
                && received.find(absl::StrCat("\"1700000000000-", id, "\"")) != std::string::npos;
            failed += isRight ? 0 : 1;
        }
        curl_easy_cleanup(curl);
        return failed;
    }

    /// Runs the callers on threads of their own, and the loop until they are done.
    LoadResult runCallers(PollLoop& loop, uint16_t port, const LoadPlan& plan)
    {
        std::atomic<uint64_t> failed { 0 };
        std::atomic<unsigned> left { plan.connections };
        std::vector<std::thread> callers;
        callers.reserve(plan.connections);
        const Instant start = loop.now();
        const Milliseconds processorStart = threadTime();
        for (unsigned n = 0; n < plan.connections; ++n) {
            callers.emplace_back([&, n] {
                failed += runCaller(port, n, plan);
                if (--left == 0)
                    loop.stop();
            });
        }
        loop.run();
        LoadResult result;
        result.took = loop.now() - start;
        result.processorTime = threadTime() - processorStart;
        for (auto& it : callers)
            it.join();
        result.requests = uint64_t { plan.connections } * plan.requestsEach;
        result.failed = failed;
        return result;
    }

    /// A peer daemon's gateway on a thread of its own, whose handler answers at the loop's next turn.
    class RunningPeer {
    public:
        static absl::StatusOr<std::unique_ptr<RunningPeer>> create()
        {
            std::unique_ptr<RunningPeer> peer(new RunningPeer);
            auto loop = PollLoop::create();
            if (!loop.ok())
                return loop.status();
            peer->m_loop = *std::move(loop);
            GatewaySettings settings;
            settings.peerKeys = { peerKey };
            GatewayHandlers handlers;
            handlers.onHomeCall = [loop = peer->m_loop.get()](const HomeCall& call, const std::function<void(HomeReply)>& done) {
                HomeReply reply;
                reply.answer = echoOf(call.request);
                loop->after(Milliseconds(0), [reply, done] { done(reply); });
            };
            auto gateway = Gateway::create(*peer->m_loop, settings, handlers);
            if (!gateway.ok())
                return gateway.status();
            peer->m_gateway = *std::move(gateway);
            peer->m_thread = std::thread([self = peer.get()] {
                self->m_loop->run();
                self->m_processorTime = threadTime();
            });
            return peer;
        }

        ~RunningPeer()
        {
            if (m_thread.joinable())
                stop();
        }

        RunningPeer(const RunningPeer&) = delete;
        RunningPeer& operator=(const RunningPeer&) = delete;

        uint16_t port() const { return m_gateway->port(); }

        /// Ends its thread and tells the processor time that this used.
        Milliseconds stop()
        {
            m_loop->stop();
            m_thread.join();
            return m_processorTime;
        }

    private:
        RunningPeer() = default;

        std::unique_ptr<PollLoop> m_loop;
        std::unique_ptr<Gateway> m_gateway;
        std::thread m_thread;
        Milliseconds m_processorTime;
    };

    GatewayHandlers forwardingHandlers(PeerClient& client, const InstanceId& peer)
    {
        GatewayHandlers handlers;
        handlers.onStatement = [&client, peer](const StatementRequest& request, const std::function<void(StatementAnswer)>& answer) {
            HomeCall call;
            call.target = TargetId("t");
            call.request = request;
            client.call(peer, call, [answer](const HomeReply& reply) { answer(reply.answer); });
        };
        return handlers;
    }

    /// Whether a caller on `socket` had its request answered.
    bool exchangeOnce(Poco::Net::StreamSocket& socket)
    {
        const std::string body = requestBody("idle", 16);
        const std::string text = absl::StrCat("POST /v1/statements HTTP/1.1\r\nHost: x\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
        std::array<char, 4096> buf {};
        const int n = socket.receiveBytes(buf.data(), buf.size());
        return std::string(buf.data(), static_cast<size_t>(std::max(n, 0))).find("HTTP/1.1 200") == 0;
    }

    unsigned openIdle(uint16_t port, unsigned connections, std::vector<Poco::Net::StreamSocket>& sockets)
    {
        unsigned answered = 0;
        try {
            for (unsigned n = 0; n < connections; ++n) {
                auto& socket = sockets.emplace_back(Poco::Net::SocketAddress("127.0.0.1", port));
                answered += exchangeOnce(socket) ? 1 : 0;
            }
        } catch (const Poco::Exception&) {
            // Fewer connections than asked for are told by the count.
        }
        return answered;
    }

}

absl::StatusOr<LoadResult> runLoad(const LoadPlan& plan)
{
    auto loop = PollLoop::create();
    if (!loop.ok())
        return loop.status();
    auto gateway = Gateway::create(**loop, {}, echoHandlers(**loop));
    if (!gateway.ok())
        return gateway.status();
    return runCallers(**loop, (*gateway)->port(), plan);
}

absl::StatusOr<LoadResult> runForwarded(const LoadPlan& plan)
{
    auto peer = RunningPeer::create();
    if (!peer.ok())
        return peer.status();
    auto loop = PollLoop::create();
    if (!loop.ok())
        return loop.status();
    auto client = PeerClient::create(**loop, { peerKey });
    if (!client.ok())
        return client.status();
    InstanceEntry entry;
    entry.instance = InstanceId("peer");
    entry.host = "127.0.0.1";
    entry.port = (*peer)->port();
    (*client)->setPeers({ entry });
    auto gateway = Gateway::create(**loop, {}, forwardingHandlers(**client, entry.instance));
    if (!gateway.ok())
        return gateway.status();
    auto result = runCallers(**loop, (*gateway)->port(), plan);
    result.peerProcessorTime = (*peer)->stop();
    return result;
}

absl::StatusOr<IdleResult> runIdle(unsigned connections)
{
    auto loop = PollLoop::create();
    if (!loop.ok())
        return loop.status();
    GatewaySettings settings;
    settings.connectionLimit = connections + 1;
    auto gateway = Gateway::create(**loop, settings, echoHandlers(**loop));
    if (!gateway.ok())
        return gateway.status();
    std::vector<Poco::Net::StreamSocket> sockets;
    sockets.reserve(connections);
    IdleResult result;
    std::thread callers([&] {
        openIdle((*gateway)->port(), 1, sockets);
        result.residentBytesBefore = residentBytes();
        result.connections = openIdle((*gateway)->port(), connections - 1, sockets);
        result.residentBytesAfter = residentBytes();
        (*loop)->stop();
    });
    (*loop)->run();
    callers.join();
    return result;
}

absl::Status serve(uint16_t port)
{
    auto loop = PollLoop::create();
    if (!loop.ok())
        return loop.status();
    GatewaySettings settings;
    settings.port = port;
    auto gateway = Gateway::create(**loop, settings, echoHandlers(**loop));
    if (!gateway.ok())
        return gateway.status();
    (*loop)->run();
    return absl::OkStatus();
}

}

#include "gateway/GatewayFixture.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <curl/curl.h>
#include <thread>

namespace parsleypaddle {

namespace {

    size_t appendTo(char* data, size_t size, size_t count, void* text)
    {
        static_cast<std::string*>(text)->append(data, size * count);
        return size * count;
    }

}

HttpResult sendRequest(uint16_t port, const std::string& method, const std::string& path, const std::string& body, const std::vector<std::string>& headers)
{
    HttpResult result;
    CURL* curl = curl_easy_init();
    curl_slist* list = nullptr;
    for (const auto& it : headers)
        list = curl_slist_append(list, it.c_str());
    const std::string url = "http://127.0.0.1:" + std::to_string(port) + path;
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, list);
    if (method != "GET") {
        curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method.c_str());
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.data());
    }
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, appendTo);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &result.body);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, appendTo);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, &result.headers);
    if (curl_easy_perform(curl) == CURLE_OK)
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &result.status);
    curl_slist_free_all(list);
    curl_easy_cleanup(curl);
    return result;
}

std::string sendRaw(uint16_t port, const std::string& bytes)
{
    std::string received;
    try {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port));
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        std::array<char, 4096> buf {};
        int n = 0;
        while ((n = socket.receiveBytes(buf.data(), static_cast<int>(buf.size()))) > 0)
            received.append(buf.data(), static_cast<size_t>(n));
    } catch (const Poco::Exception& ec) {
        received += "[" + ec.displayText() + "]";
    }
    return received;
}

std::string statementBody(const std::string& idSuffix, const std::string& parameter)
{
    return R"({"version":1,"shop":"hann-1","class":"fitting","database":"d","statement":"select","mode":"read","deadline_ms":5000,)"
           R"("request_id":"1700000000000-)"
        + idSuffix + R"(","parameters":[")" + parameter + "\"]}";
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

GatewayFixture::GatewayFixture(const std::function<void(GatewaySettings&, GatewayHandlers&)>& change)
{
    auto made = PollLoop::create();
    REQUIRE(made.ok());
    loop = *std::move(made);
    GatewaySettings settings;
    settings.peerKeys = { "old-key", "new-key" };
    GatewayHandlers handlers;
    handlers.onStatement = [](const StatementRequest& request, const Answer& answer) { answer(echoOf(request)); };
    handlers.onHomeCall = [](const HomeCall& call, const std::function<void(HomeReply)>& done) {
        HomeReply reply;
        reply.answer = echoOf(call.request);
        done(reply);
    };
    if (change)
        change(settings, handlers);
    auto created = Gateway::create(*loop, settings, handlers);
    INFO(created.status());
    REQUIRE(created.ok());
    gateway = *std::move(created);
}

void GatewayFixture::run(const std::vector<std::function<void()>>& clients)
{
    std::atomic<size_t> runningClients { clients.size() };
    std::vector<std::thread> threads;
    threads.reserve(clients.size());
    for (const auto& it : clients) {
        threads.emplace_back([&] {
            it();
            if (--runningClients == 0)
                loop->post([this] { loop->stop(); });
        });
    }
    loop->run();
    for (auto& it : threads)
        it.join();
}

}

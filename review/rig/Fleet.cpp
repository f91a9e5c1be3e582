#include "Fleet.h"

#include "Json.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

namespace {

    constexpr int callerPort = 8784;
    constexpr int readyPort = 8785;
    constexpr int controlPort = 8782;
    constexpr int metricsPort = 9464;
    constexpr int firstInternalPort = 7440;
    constexpr int lastInternalPort = 7455;

    bool isFree(const std::string& host, int port)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        const bool isBound = bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        close(descriptor);
        return isBound;
    }

}

std::string freePrefix()
{
    for (int n = getpid() % 100; ; n = (n + 1) % 100) {
        const std::string prefix = "127." + std::to_string(64 + n % 10) + "." + std::to_string(10 + n);
        bool areFree = true;
        for (const int last : { 1, 2, 3, 100 }) {
            for (const int port : { callerPort, readyPort, metricsPort, firstInternalPort })
                areFree = areFree && isFree(prefix + "." + std::to_string(last), port);
        }
        if (areFree)
            return prefix;
    }
}

Fleet::Fleet(FleetSettings settings, std::string prefix)
    : m_settings(std::move(settings))
    , m_prefix(std::move(prefix))
{
}

Fleet::~Fleet()
{
    stop();
}

Daemon& Fleet::add(const std::string& zone)
{
    const size_t n = m_daemons.size() + 1;
    m_daemons.push_back(std::make_unique<Daemon>(Daemon { "frontend-" + zone + "-" + std::to_string(n), zone, m_prefix + "." + std::to_string(n), -1 }));
    return *m_daemons.back();
}

int Fleet::numberOf(const Daemon& daemon) const
{
    int number = 0;
    while (m_daemons[static_cast<size_t>(number)]->name != daemon.name)
        ++number;
    return number;
}

void Fleet::start(Daemon& daemon)
{
    const auto at = [&daemon](int port) { return daemon.ip + ":" + std::to_string(port); };
    Json::Value settings(Json::objectValue);
    settings["node-name"] = daemon.name;
    settings["role"] = "daemon";
    settings["machine-class"] = "frontend";
    settings["serves"].append("frontend");
    settings["ip"] = daemon.ip;
    settings["zone"] = daemon.zone;
    settings["region"] = "region-one";
    for (const auto& it : m_settings.zones)
        settings["zones"][it] = "region-one";
    settings["listen"]["frontend"] = at(callerPort);
    settings["listen"]["ready"] = at(readyPort);
    settings["listen"]["control"] = at(controlPort);
    settings["internal-port-range"].append(firstInternalPort);
    settings["internal-port-range"].append(lastInternalPort);
    settings["seeds"] = Json::Value(Json::arrayValue);
    settings["bootstrap"] = true;
    settings["limits"]["cpu-share"] = 0.25;
    settings["limits"]["cores"] = 1;
    settings["limits"]["memory-mb"] = 260;
    settings["limits"]["file-descriptors"] = 4300;
    settings["limits"]["link-mbps"] = 1000.0;
    settings["data-directory"] = Json::Value();
    settings["discovery"] = "platform";
    settings["heartbeat-ms"] = 1200;
    settings["bounds"]["stability-window-ms"] = 4000;
    settings["bounds"]["ack-timeout-ms"] = 5000;
    settings["bounds"]["drain-ms"] = 7000;
    settings["bounds"]["grace-period-s"] = 6;
    settings["bounds"]["loss-slack-ms"] = 200;
    settings["bounds"]["config-apply-ms"] = 3000;
    settings["bounds"]["fencing-enforced"] = false;
    settings["bounds"]["thaw-slack-ms"] = 300;
    settings["platform"]["address"] = m_settings.storeHost + ":" + std::to_string(storePortOf(daemon));
    settings["platform"]["form"] = "table";
    settings["cloud-api"]["address"] = m_settings.storeHost + ":" + std::to_string(cloudPortOf(daemon));
    const std::string file = m_settings.folder + "/" + daemon.name + ".json";
    std::ofstream(file) << writeJson(settings);
    const std::string log = m_settings.folder + "/" + daemon.name + ".log";
    const std::string metrics = std::to_string(metricsPort);
    daemon.process = fork();
    if (daemon.process == 0) {
        // The daemons end with this program, also if it is killed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        setenv("PARSLEYPADDLE_NODE_FILE", file.c_str(), 1);
        execl("target/platform/parsleypaddled-platform", "target/platform/parsleypaddled-platform", "--metrics", metrics.c_str(), static_cast<char*>(nullptr));
        _exit(127);
    }
    record("started " + daemon.name + " at " + daemon.ip + " as process " + std::to_string(daemon.process));
}

void Fleet::signal(Daemon& daemon, int signal)
{
    record("signal " + std::to_string(signal) + " to " + daemon.name);
    kill(daemon.process, signal);
    if (signal == SIGKILL) {
        waitpid(daemon.process, nullptr, 0);
        daemon.process = -1;
    }
}

bool Fleet::isReady(const Daemon& daemon) const
{
    return httpGet(daemon.ip, readyPort, "/readiness", 500).first == 200;
}

std::string Fleet::metrics(const Daemon& daemon)
{
    return httpGet(daemon.ip, metricsPort, "/metrics", 1000).second;
}

std::vector<std::string> Fleet::ended()
{
    std::vector<std::string> names;
    for (auto& it : m_daemons) {
        int how = 0;
        if (it->process > 0 && waitpid(it->process, &how, WNOHANG) == it->process) {
            record("process of " + it->name + " has ended by itself, status " + std::to_string(how));
            it->process = -1;
            names.push_back(it->name);
        }
    }
    return names;
}

void Fleet::stop()
{
    for (auto& it : m_daemons) {
        if (it->process > 0) {
            kill(it->process, SIGCONT);
            kill(it->process, SIGKILL);
        }
    }
    for (auto& it : m_daemons) {
        if (it->process > 0)
            waitpid(it->process, nullptr, 0);
        it->process = -1;
    }
}

std::pair<int, std::string> httpGet(const std::string& host, int port, const std::string& path, double timeout)
{
    auto connection = Connection::connect(host, port, timeout);
    if (!connection || !connection->send("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n"))
        return { 0, "" };
    const auto first = connection->readLine(timeout);
    if (!first || first->size() < 12)
        return { 0, "" };
    size_t length = 0;
    while (const auto line = connection->readLine(timeout)) {
        if (line->empty())
            break;
        if (line->rfind("Content-Length: ", 0) == 0)
            length = std::stoul(line->substr(16));
    }
    return { std::stoi(first->substr(9, 3)), connection->readBytes(length, timeout).value_or("") };
}

std::unique_ptr<Client> Client::open(const std::string& host, const std::string& database, const std::string& who)
{
    auto client = std::make_unique<Client>();
    client->m_connection = Connection::connect(host, callerPort, 1000);
    if (!client->m_connection || !client->m_connection->send("STARTUP " + database + " " + who + "\r\n"))
        return nullptr;
    const auto line = client->m_connection->readLine(2000);
    if (!line || line->rfind("READY", 0) != 0)
        return nullptr;
    return client;
}

Answer Client::ask(const std::string& statement, const std::string& text, double timeout)
{
    Answer answer;
    answer.error = "CLOSED";
    if (!m_connection->send("QUERY " + statement + " " + text + "\r\n"))
        return answer;
    std::string error;
    while (const auto line = m_connection->readLine(timeout)) {
        std::istringstream words(*line);
        std::string word;
        words >> word;
        if (word == "DATAROW")
            answer.rows.push_back(line->substr(8));
        else if (word == "COMPLETE")
            words >> answer.signature;
        else if (word == "ERROR")
            words >> error;
        else if (word == "READY") {
            words >> answer.state;
            answer.error = error;
            return answer;
        }
    }
    if (m_connection->isTimedOut())
        answer.error = "NOANSWER";
    return answer;
}

}

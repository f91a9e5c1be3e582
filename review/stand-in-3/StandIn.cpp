#include "StandIn.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <json/json.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standin {

namespace {

    constexpr int heartbeatMs = 1200;

    std::string toJson(const Json::Value& value)
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        return Json::writeString(builder, value);
    }

    bool parse(const std::string& text, Json::Value& value)
    {
        Json::CharReaderBuilder builder;
        std::string errors;
        std::istringstream in(text);
        return Json::parseFromStream(builder, in, &value, &errors);
    }

    constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    std::string encodeBase64(const std::string& text)
    {
        std::string result;
        for (size_t n = 0; n < text.size(); n += 3) {
            uint32_t bits = 0;
            for (size_t k = 0; k < 3; ++k)
                bits = bits << 8 | (n + k < text.size() ? static_cast<unsigned char>(text[n + k]) : 0U);
            for (size_t k = 0; k < 4; ++k)
                result += n + k <= text.size() ? digits[bits >> (18 - 6 * k) & 63] : '=';
        }
        return result;
    }

    std::string decodeBase64(const std::string& text)
    {
        std::string result;
        uint32_t bits = 0;
        int count = 0;
        for (const char it : text) {
            const char* at = std::strchr(digits, it);
            if (it == '=' || !at)
                break;
            bits = bits << 6 | static_cast<uint32_t>(at - digits);
            if (++count % 4 != 1)
                result += static_cast<char>(bits >> (6 - 2 * ((count - 1) % 4)) & 255);
        }
        return result;
    }

    std::string decodeUrl(const std::string& text)
    {
        std::string result;
        for (size_t n = 0; n < text.size(); ++n) {
            if (text[n] == '%' && n + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
                n += 2;
            } else
                result += text[n];
        }
        return result;
    }

    std::map<std::string, std::string> parseQuery(const std::string& text)
    {
        std::map<std::string, std::string> query;
        std::istringstream in(text);
        std::string part;
        while (std::getline(in, part, '&')) {
            const size_t equals = part.find('=');
            if (equals != std::string::npos)
                query[part.substr(0, equals)] = decodeUrl(part.substr(equals + 1));
        }
        return query;
    }

    sockaddr_in addressOf(const std::string& host, int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        return address;
    }

}

int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

void sleepMs(int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::vector<std::string> words(const std::string& text)
{
    std::istringstream in(text);
    std::vector<std::string> result;
    std::string word;
    while (in >> word)
        result.push_back(word);
    return result;
}

Record::Record(const std::string& path)
    : m_file(open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
    , m_start(nowMs())
{
}

Record::~Record() { close(m_file); }

void Record::line(const std::string& text)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f s  ", static_cast<double>(nowMs() - m_start) / 1000);
    const std::string line = time + text + "\n";
    (void)!write(m_file, line.data(), line.size());
}

Line::~Line() { close(m_fd); }

std::unique_ptr<Line> Line::connect(const std::string& host, int port, int timeoutMs)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto line = std::make_unique<Line>(fd);
    timeval limit { timeoutMs / 1000, timeoutMs % 1000 * 1000 };
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    const sockaddr_in address = addressOf(host, port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
        return nullptr;
    return line;
}

bool Line::send(const std::string& text)
{
    size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t n = ::send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            m_isClosed = true;
            return false;
        }
        sent += static_cast<size_t>(n);
    }
    return true;
}

std::optional<std::string> Line::readLine(int timeoutMs)
{
    const int64_t until = nowMs() + timeoutMs;
    while (true) {
        const size_t end = m_buffer.find("\r\n");
        if (end != std::string::npos) {
            std::string line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 2);
            return line;
        }
        pollfd waited { m_fd, POLLIN, 0 };
        const int64_t left = until - nowMs();
        if (left < 0 || poll(&waited, 1, static_cast<int>(left)) <= 0)
            return std::nullopt;
        char chunk[16384];
        const ssize_t n = recv(m_fd, chunk, sizeof(chunk), 0);
        if (n <= 0) {
            m_isClosed = true;
            return std::nullopt;
        }
        m_buffer.append(chunk, static_cast<size_t>(n));
    }
}

std::string Line::readBytes(size_t count, int timeoutMs)
{
    const int64_t until = nowMs() + timeoutMs;
    while (m_buffer.size() < count && nowMs() < until) {
        char chunk[16384];
        pollfd waited { m_fd, POLLIN, 0 };
        if (poll(&waited, 1, 100) <= 0)
            continue;
        const ssize_t n = recv(m_fd, chunk, sizeof(chunk), 0);
        if (n <= 0)
            break;
        m_buffer.append(chunk, static_cast<size_t>(n));
    }
    std::string bytes = m_buffer.substr(0, count);
    m_buffer.erase(0, bytes.size());
    return bytes;
}

void Line::shutDown() { ::shutdown(m_fd, SHUT_RDWR); }

Listener::Listener(const std::string& host, int port, std::function<void(int)> serve)
    : m_serve(std::move(serve))
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in address = addressOf(host, port);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 || listen(fd, 512) != 0) {
        std::perror("the stand-in cannot listen");
        std::_Exit(2);
    }
    std::thread([this, fd] {
        while (true) {
            const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            const int noDelay = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
            std::thread([this, accepted] { m_serve(accepted); }).detach();
        }
    }).detach();
}

Store::Store(const std::string& host, int port, std::function<bool(const std::string&, const std::string&, uint64_t)> promote)
    : m_promote(std::move(promote))
{
    new Listener(host, port, [this](int fd) { serve(fd); });
}

void Store::put(const std::string& table, const std::string& key, const std::string& value)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_rows[{ table, key }] = { value, ++m_version, false };
    m_changed.notify_all();
}

void Store::remove(const std::string& table, const std::string& key)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    auto it = m_rows.find({ table, key });
    if (it == m_rows.end() || it->second.isDeleted)
        return;
    it->second = { "", ++m_version, true };
    m_changed.notify_all();
}

void Store::serve(int fd)
{
    Line line(fd);
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers;
    while (auto text = line.readLine(10'000)) {
        if (method.empty()) {
            const auto parts = words(*text);
            if (parts.size() < 2)
                return;
            method = parts[0];
            target = parts[1];
            continue;
        }
        if (!text->empty()) {
            const size_t colon = text->find(':');
            std::string name = text->substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char it) { return std::tolower(it); });
            headers[name] = colon + 2 <= text->size() ? text->substr(colon + 2) : "";
            continue;
        }
        break;
    }
    const size_t length = headers.count("content-length") ? std::stoul(headers["content-length"]) : 0;
    std::string body;
    if (length > 0)
        body = line.readBytes(length, 5000);
    const Mode mode = target == "/promotion" ? Mode::Serving : m_mode.load();
    if (mode == Mode::Reset) {
        const linger none { 1, 0 };
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
        return;
    }
    if (mode == Mode::Silent) {
        line.readLine(60'000);
        return;
    }
    int status = mode == Mode::Busy ? 503 : 200;
    sleepMs(4);
    if (mode == Mode::Busy) {
        line.send("HTTP/1.1 503 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        return;
    }
    const std::string answer = handle(method, target, headers, body, status);
    line.send("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(answer.size()) + "\r\nConnection: close\r\n\r\n" + answer);
}

std::string Store::handle(const std::string& method, const std::string& target, const std::map<std::string, std::string>& headers, const std::string& body, int& status)
{
    const size_t mark = target.find('?');
    const std::string path = target.substr(0, mark);
    auto query = parseQuery(mark == std::string::npos ? "" : target.substr(mark + 1));
    if (method == "POST" && path == "/promotion") {
        Json::Value call;
        parse(body, call);
        const auto header = [&headers](const char* name) { return headers.count(name) ? headers.at(name) : std::string(); };
        status = m_promote(call["id"].asString(), header("lease-holder"), std::strtoull(header("fencing-token").c_str(), nullptr, 10)) ? 200 : 409;
        return "{}";
    }
    if (method == "POST" && path == "/rows-tx")
        return transact(body, status);
    if (path == "/rows-get") {
        std::lock_guard<std::mutex> lock(m_mutex);
        return rowsBody(query["table"], 0, false, query["start-key"]);
    }
    if (path == "/rows-feed") {
        std::unique_lock<std::mutex> lock(m_mutex);
        const uint64_t after = std::strtoull(query["after"].c_str(), nullptr, 10);
        const auto hasNews = [&] { return std::any_of(m_rows.begin(), m_rows.end(), [&](const auto& it) { return it.first.first == query["table"] && it.second.version > after; }); };
        m_changed.wait_for(lock, std::chrono::milliseconds(std::atoi(query["wait-ms"].c_str())), hasNews);
        return rowsBody(query["table"], after, true, "");
    }
    status = 404;
    return "";
}

std::string Store::rowsBody(const std::string& table, uint64_t after, bool withDeleted, const std::string& startKey)
{
    Json::Value body(Json::objectValue);
    body["rows"] = Json::Value(Json::arrayValue);
    std::vector<std::pair<uint64_t, Json::Value>> rows;
    for (const auto& [name, row] : m_rows) {
        if (name.first != table || row.version <= after || (row.isDeleted && !withDeleted) || name.second < startKey)
            continue;
        Json::Value value(Json::objectValue);
        value["table"] = table;
        value["part"] = "";
        value["key"] = name.second;
        value["schema-version"] = Json::UInt64(row.version);
        value["value"] = encodeBase64(row.value);
        if (row.isDeleted)
            value["deleted"] = true;
        rows.emplace_back(row.version, std::move(value));
    }
    if (after > 0)
        std::stable_sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    for (auto& it : rows)
        body["rows"].append(std::move(it.second));
    body["has-more"] = false;
    body["schema-version"] = Json::UInt64(m_version);
    body["current-time-ms"] = Json::Int64(nowMs());
    return toJson(body);
}

std::string Store::transact(const std::string& text, int& status)
{
    Json::Value call;
    if (!parse(text, call)) {
        status = 400;
        return "";
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    Json::Value body(Json::objectValue);
    Json::Value present(Json::arrayValue);
    bool isAsExpected = true;
    for (const auto& it : call["expect"]) {
        const auto found = m_rows.find({ it["table"].asString(), it["key"].asString() });
        const bool exists = found != m_rows.end() && !found->second.isDeleted;
        const uint64_t version = exists ? found->second.version : 0;
        isAsExpected = isAsExpected && version == it["schema-version"].asUInt64();
        if (!exists)
            continue;
        Json::Value row = it;
        row["schema-version"] = Json::UInt64(version);
        row["value"] = encodeBase64(found->second.value);
        present.append(std::move(row));
    }
    if (isAsExpected) {
        ++m_version;
        for (const auto& it : call["set-keys"])
            m_rows[{ it["table"].asString(), it["key"].asString() }] = { decodeBase64(it["value"].asString()), m_version, false };
        for (const auto& it : call["remove"])
            m_rows[{ it["table"].asString(), it["key"].asString() }] = { "", m_version, true };
        m_changed.notify_all();
    } else {
        status = 412;
        body["rows"] = std::move(present);
    }
    body["schema-version"] = Json::UInt64(m_version);
    body["current-time-ms"] = Json::Int64(nowMs());
    return toJson(body);
}

struct Server::Session {
    std::unique_ptr<Line> line;
    char state { 'I' };
    bool isReadOnly { false };
    std::vector<std::pair<std::string, std::string>> changes;
    std::map<std::string, bool> prepared;
    uint64_t term { 0 };
};

Server::Server(Service& service, std::string id, std::string zone, std::string host, int port)
    : m_service(service)
    , m_id(std::move(id))
    , m_zone(std::move(zone))
    , m_host(std::move(host))
    , m_port(port)
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
{
    new Listener(m_host, m_port, [this](int fd) { serve(fd); });
}

std::string Server::ready(const Session& session) const
{
    const std::string position = m_log.empty() ? "-" : std::to_string(m_log.back().term) + "." + std::to_string(m_log.back().number);
    return std::string("READY ") + session.state + " " + position + "\r\n";
}

void Server::serve(int fd)
{
    Session session;
    session.line = std::make_unique<Line>(fd);
    Line& line = *session.line;
    {
        std::lock_guard<std::mutex> lock(m_service.m_mutex);
        if (m_isDown)
            return;
    }
    const auto startup = line.readLine(5000);
    if (!startup)
        return;
    const auto fields = words(*startup);
    sleepMs(12);
    {
        std::lock_guard<std::mutex> lock(m_service.m_mutex);
        if (m_isDown)
            return;
        if (fields.size() < 3 || fields[0] != "STARTUP" || fields[1] != m_service.m_name || (fields.size() > 3 && fields[3] != m_id)) {
            line.send("ERROR MISROUTED " + m_id + "\r\n");
            return;
        }
        if (m_connections.size() >= static_cast<size_t>(m_service.m_options.maxConnections)) {
            line.send("ERROR TOOMANY " + m_id + "\r\n");
            return;
        }
        m_connections.insert(&line);
        line.send(ready(session));
    }
    while (true) {
        const auto text = line.readLine(60'000);
        if (!text || text->rfind("QUERY ", 0) != 0)
            break;
        const std::string answer = run(session, text->substr(6));
        if (answer.empty() || !line.send(answer))
            break;
    }
    std::lock_guard<std::mutex> lock(m_service.m_mutex);
    m_connections.erase(&line);
}

std::string Server::run(Session& session, const std::string& text)
{
    const size_t blank = text.find(' ');
    const std::string id = text.substr(0, blank);
    std::string statement = blank == std::string::npos ? "" : text.substr(blank + 1);
    std::unique_lock<std::mutex> lock(m_service.m_mutex);
    const auto error = [&](const std::string& code) {
        if (session.state == 'T')
            session.state = 'E';
        return "ERROR " + code + " " + m_id + "\r\n" + ready(session);
    };
    const auto complete = [&](const std::string& rows, bool isSigned) {
        const std::string signature = isSigned ? "s" + std::to_string(++m_service.m_signature) + "." + m_id + "." + id : "-";
        return rows + "COMPLETE " + signature + "\r\n" + ready(session);
    };
    if (m_isDown)
        return "";
    std::optional<std::pair<uint64_t, uint64_t>> after;
    if (statement.rfind("AFTER ", 0) == 0) {
        const size_t end = statement.find(' ', 6);
        const std::string mark = statement.substr(6, end - 6);
        after = { std::strtoull(mark.c_str(), nullptr, 10), std::strtoull(mark.c_str() + mark.find('.') + 1, nullptr, 10) };
        statement = statement.substr(end + 1);
    }
    auto fields = words(statement);
    const std::string verb = fields.empty() ? "" : fields[0];
    const std::map<std::string, size_t> leastWords { { "SET", 3 }, { "PREPARE", 3 }, { "DEALLOCATE", 2 }, { "READ", 2 }, { "WRITE", 2 }, { "EXECUTE", 3 } };
    const auto least = leastWords.find(verb);
    if (least != leastWords.end() && fields.size() < least->second)
        return error("MALFORMED");
    const auto applied = [&] {
        size_t n = m_log.size();
        while (n > 0 && !m_isPrimary && nowMs() < m_log[n - 1].at + m_service.m_options.applyMs)
            --n;
        return n;
    };
    if (verb == "STATUS" || verb == "DEMOTE") {
        if (verb == "DEMOTE" && fields.size() > 1 && m_term < std::strtoull(fields[1].c_str(), nullptr, 10)) {
            m_isPrimary = false;
            m_service.report(*this);
        }
        const std::string position = m_log.empty() ? "-" : std::to_string(m_log.back().term) + "." + std::to_string(m_log.back().number);
        return complete("DATAROW " + std::string(m_isPrimary ? "primary " : "replica ") + std::to_string(m_term) + " " + position + " " + std::to_string(m_term) + " 0 " + std::to_string(m_busy) + " " + std::to_string(m_connections.size()) + "\r\n", false);
    }
    if (verb == "RESET") {
        session.prepared.clear();
        return complete("", false);
    }
    if (session.state == 'E' && verb != "ROLLBACK" && verb != "COMMIT")
        return error("MALFORMED");
    if (verb == "SET")
        return complete("", false);
    if (verb == "PREPARE") {
        session.prepared[fields.at(1)] = fields.at(2) == "WRITE";
        return complete("", false);
    }
    if (verb == "DEALLOCATE") {
        session.prepared.erase(fields.at(1));
        return complete("", false);
    }
    if (verb == "ROLLBACK" || (verb == "COMMIT" && session.state == 'E')) {
        session.changes.clear();
        session.state = 'I';
        return verb == "ROLLBACK" ? complete("", false) : error("FAILED");
    }
    const bool lacks = after && (applied() == 0 || std::make_pair(m_log[applied() - 1].term, m_log[applied() - 1].number) < *after);
    if (verb == "BEGIN") {
        session.isReadOnly = fields.size() > 1 && fields[1] == "READ";
        if (lacks)
            return error("LAGGING");
        if (!session.isReadOnly && !m_isPrimary)
            return error("READONLY");
        session.state = 'T';
        session.term = m_term;
        session.changes.clear();
        return complete("", false);
    }
    const bool isExecute = verb == "EXECUTE";
    if (isExecute && session.prepared.count(fields.at(1)) == 0)
        return error("NOSTMT");
    const bool isWrite = verb == "WRITE" || (isExecute && session.prepared[fields[1]]);
    const bool isCommit = verb == "COMMIT";
    const size_t itemAt = isExecute ? 2 : 1;
    if (lacks)
        return error("LAGGING");
    const bool mustLead = isWrite || (session.state == 'T' && !session.isReadOnly && !(isCommit && session.changes.empty()));
    if (mustLead && (!m_isPrimary || (session.state == 'T' && session.term != m_term)))
        return error("READONLY");
    if (m_busy >= m_service.m_options.slots + 24)
        return error("BUSY");
    const int64_t arrivedAt = nowMs();
    ++m_busy;
    const int64_t turns = 1 + (m_busy - 1) / m_service.m_options.slots;
    lock.unlock();
    sleepMs(m_service.m_options.workMs * turns);
    lock.lock();
    --m_busy;
    if (m_isDown)
        return "";
    if (mustLead && !m_isPrimary)
        return error("READONLY");
    if (!isWrite && !isCommit) {
        std::string value;
        ReadRun run { id, m_id, arrivedAt, {} };
        const size_t count = applied();
        for (size_t n = 0; n < count; ++n) {
            run.log.emplace_back(m_log[n].term, m_log[n].number);
            for (const auto& it : m_log[n].changes)
                value = it.first == fields.at(itemAt) ? it.second : value;
        }
        m_service.m_reads.push_back(std::move(run));
        return complete("DATAROW " + value + "\r\n", true);
    }
    if (isWrite)
        session.changes.emplace_back(fields.at(itemAt), fields.size() > itemAt + 1 ? fields[itemAt + 1] : "");
    if (isWrite && session.state == 'T')
        return complete("", true);
    session.state = 'I';
    if (session.changes.empty())
        return complete("", true);
    m_log.push_back({ m_term, m_log.empty() ? 1 : m_log.back().number + 1, std::move(session.changes), nowMs() });
    session.changes.clear();
    const auto mark = std::make_pair(m_log.back().term, m_log.back().number);
    const auto receivers = [&] {
        return std::count_if(m_service.m_servers.begin(), m_service.m_servers.end(), [&](const auto& it) {
            return it.get() != this && !it->m_isDown && !it->m_log.empty() && std::make_pair(it->m_log.back().term, it->m_log.back().number) >= mark;
        });
    };
    while (receivers() < m_service.m_options.syncReplicas) {
        m_service.m_changed.wait_for(lock, std::chrono::milliseconds(2));
        if (m_isDown)
            return "";
    }
    m_service.m_acknowledged.emplace(mark, nowMs());
    m_service.m_record.line("commit " + std::to_string(mark.first) + "." + std::to_string(mark.second) + " acknowledged by " + m_id + " for statement " + id);
    return complete("", true);
}

Service::Service(std::string name, ServerOptions options, Record& record)
    : m_name(std::move(name))
    , m_options(options)
    , m_record(record)
{
}

void Service::addServer(const std::string& id, const std::string& zone, const std::string& host, int port)
{
    m_servers.push_back(std::make_unique<Server>(*this, id, zone, host, port));
    m_servers.back()->m_isPrimary = m_servers.size() == 1;
    m_servers.back()->m_log.push_back({ 1, 1, {}, nowMs() });
}

void Service::start(Store& store)
{
    m_store = &store;
    std::thread([this] {
        for (int64_t next = 0;; sleepMs(1)) {
            replicate();
            if (nowMs() < next)
                continue;
            next = nowMs() + heartbeatMs;
            beat();
        }
    }).detach();
}

void Service::beat()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& it : m_servers)
        report(*it);
}

// Called with the mutex held.
void Service::report(Server& server)
{
    if (server.m_isDown || server.m_isCutFromStore)
        return;
    Json::Value row(Json::objectValue);
    row["service"] = m_name;
    row["address"] = server.m_host + ":" + std::to_string(server.m_port);
    row["zone"] = server.m_zone;
    row["version"] = "v1";
    row["slots"] = m_options.slots;
    row["state"] = "ready";
    row["cold-remaining-ms"] = 0;
    row["database-role"] = server.m_isPrimary ? "primary" : "replica";
    row["sequence"] = Json::UInt64(++server.m_sequence);
    row["born"] = Json::Int64(server.m_born);
    m_store->put("servers", server.m_id, toJson(row));
}

// Replicas take what the primary of the newest term has, a moment after it was committed there.
void Service::replicate()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    Server* primary = nullptr;
    for (const auto& it : m_servers) {
        if (it->m_isPrimary && !it->m_isDown && (!primary || primary->m_term < it->m_term))
            primary = it.get();
    }
    for (const auto& it : m_servers) {
        if (!primary || it.get() == primary || it->m_isDown || it->m_isDeaf || it->m_isPrimary)
            continue;
        it->m_term = std::max(it->m_term, primary->m_term);
        size_t same = 0;
        while (same < it->m_log.size() && same < primary->m_log.size() && it->m_log[same].term == primary->m_log[same].term && it->m_log[same].number == primary->m_log[same].number)
            ++same;
        it->m_log.resize(same);
        for (size_t n = same; n < primary->m_log.size() && nowMs() >= primary->m_log[n].at + m_options.receiveMs; ++n)
            it->m_log.push_back(primary->m_log[n]);
    }
    m_changed.notify_all();
}

bool Service::promote(const std::string& id, const std::string& holder, uint64_t fence)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_record.line("promotion of " + id + " by " + holder + " with token " + std::to_string(fence));
    const auto found = std::find_if(m_servers.begin(), m_servers.end(), [&](const auto& it) { return it->m_id == id; });
    if (found == m_servers.end() || (*found)->m_isDown)
        return false;
    Server& server = **found;
    if (server.m_isPrimary)
        return true;
    std::thread([this, &server] {
        sleepMs(m_options.promoteMs);
        std::lock_guard<std::mutex> lock(m_mutex);
        if (server.m_isDown || server.m_isPrimary)
            return;
        uint64_t term = 0;
        for (const auto& it : m_servers)
            term = std::max(term, it->m_term);
        for (const auto& [it, at] : m_acknowledged) {
            const auto& mark = it;
            const bool isHeld = std::any_of(server.m_log.begin(), server.m_log.end(), [&](const Commit& commit) { return std::make_pair(commit.term, commit.number) == mark; });
            if (!isHeld)
                m_lost.push_back(std::to_string(it.first) + "." + std::to_string(it.second) + " is not in the log of " + server.m_id);
        }
        server.m_isPrimary = true;
        server.m_isDeaf = false;
        server.m_term = term + 1;
        m_record.line("promoted: " + server.m_id + " leads term " + std::to_string(term + 1) + " from position " + std::to_string(server.m_log.empty() ? 0 : server.m_log.back().number));
        // A reachable primary of an earlier term follows within a second.
        for (const auto& it : m_servers) {
            if (it.get() != &server && !it->m_isDown)
                it->m_isPrimary = false;
        }
        report(server);
    }).detach();
    return true;
}

void Service::crash(const std::string& id, bool losesLog)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& it : m_servers) {
        if (it->m_id != id)
            continue;
        it->m_isDown = true;
        if (losesLog)
            it->m_log.clear();
        for (Line* line : it->m_connections)
            line->shutDown();
        m_record.line("server " + id + " has crashed" + (losesLog ? " and holds nothing when it starts again" : ""));
    }
}

void Service::restart(const std::string& id)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& it : m_servers) {
        if (it->m_id != id)
            continue;
        it->m_isDown = false;
        it->m_sequence = 0;
        it->m_born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        for (const auto& other : m_servers)
            it->m_isPrimary = it->m_isPrimary && !(other->m_isPrimary && other->m_term > it->m_term);
        report(*it);
        m_record.line("server " + id + " has started again");
    }
}

void Service::setDeaf(const std::string& id, bool isDeaf)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& it : m_servers)
        it->m_isDeaf = it->m_id == id ? isDeaf : it->m_isDeaf;
    m_record.line("server " + id + (isDeaf ? " receives nothing from the primary" : " receives from the primary again"));
}

void Service::setCutFromStore(const std::string& id, bool isCut)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& it : m_servers)
        it->m_isCutFromStore = it->m_id == id ? isCut : it->m_isCutFromStore;
    m_record.line("server " + id + (isCut ? " is cut off from the store" : " reaches the store again"));
}

std::vector<std::string> Service::ids() const
{
    std::vector<std::string> ids;
    for (const auto& it : m_servers)
        ids.push_back(it->m_id);
    return ids;
}

std::string Service::primary()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    Server* primary = nullptr;
    for (const auto& it : m_servers) {
        if (it->m_isPrimary && (!primary || primary->m_term < it->m_term))
            primary = it.get();
    }
    return primary ? primary->m_id : "";
}

std::string Service::position(const std::string& id)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& it : m_servers) {
        if (it->m_id == id)
            return it->m_log.empty() ? "-" : std::to_string(it->m_log.back().term) + "." + std::to_string(it->m_log.back().number);
    }
    return "";
}

std::vector<std::string> Service::lostCommits()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_lost;
}

size_t Service::reads()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_reads.size();
}

std::vector<std::string> Service::staleReads(int64_t margin)
{
    const std::string leader = primary();
    std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<std::pair<std::pair<uint64_t, uint64_t>, int64_t>> kept;
    for (const auto& it : m_servers) {
        if (it->m_id != leader)
            continue;
        for (const auto& commit : it->m_log) {
            const auto found = m_acknowledged.find({ commit.term, commit.number });
            if (found != m_acknowledged.end())
                kept.emplace_back(found->first, found->second);
        }
    }
    std::vector<std::string> stale;
    for (const auto& read : m_reads) {
        for (const auto& [mark, at] : kept) {
            if (at >= read.arrivedAt - margin || std::find(read.log.begin(), read.log.end(), mark) != read.log.end())
                continue;
            stale.push_back("read " + read.id + " ran at " + read.server + ", whose log ended at " + (read.log.empty() ? "-" : std::to_string(read.log.back().first) + "." + std::to_string(read.log.back().second)) + ", without commit " + std::to_string(mark.first) + "."
                + std::to_string(mark.second) + ", which was acknowledged " + std::to_string(read.arrivedAt - at) + " ms before and is kept");
            break;
        }
    }
    return stale;
}

Daemon::Daemon(Settings settings)
    : m_settings(std::move(settings))
{
}

void Daemon::end()
{
    if (m_pid <= 0)
        return;
    kill(m_pid, SIGCONT);
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

void Daemon::start(int output)
{
    Json::Value node(Json::objectValue);
    const std::string ip = m_settings.ip;
    node["node-name"] = m_settings.name;
    node["role"] = "daemon";
    node["machine-class"] = "frontend";
    node["ip"] = ip;
    node["zone"] = m_settings.zone;
    node["region"] = "loopback";
    for (const auto& it : m_settings.zones)
        node["zones"][it] = "loopback";
    node["listen"]["frontend"] = ip + ":" + std::to_string(m_settings.port);
    node["listen"]["ready"] = ip + ":" + std::to_string(m_settings.port + 1);
    node["internal-port-range"].append(m_settings.port + 2);
    node["internal-port-range"].append(m_settings.port + 17);
    node["bootstrap"] = m_isFirst;
    node["limits"]["cpu-share"] = 0.25;
    node["limits"]["cores"] = 1;
    node["limits"]["memory-mb"] = 260;
    node["limits"]["file-descriptors"] = 4300;
    node["limits"]["link-mbps"] = 1000.0;
    node["heartbeat-ms"] = heartbeatMs;
    Json::Value& bounds = node["bounds"];
    bounds["stability-window-ms"] = 4000;
    bounds["drain-ms"] = 7000;
    bounds["grace-period-s"] = 6;
    bounds["loss-slack-ms"] = 200;
    bounds["config-apply-ms"] = 3000;
    bounds["recovery-s"] = 12;
    bounds["fencing-enforced"] = false;
    node["platform"]["address"] = m_settings.platform;
    node["cloud-api"]["address"] = m_settings.platform;
    m_isFirst = false;
    const std::string file = m_settings.folder + "/" + m_settings.name + ".json";
    const int fd = open(file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    const std::string text = toJson(node);
    (void)!write(fd, text.data(), text.size());
    close(fd);
    std::vector<char*> arguments;
    for (const auto& it : m_settings.command)
        arguments.push_back(const_cast<char*>(it.c_str()));
    arguments.push_back(nullptr);
    setenv("PARSLEYPADDLE_NODE_FILE", file.c_str(), 1);
    m_pid = fork();
    if (m_pid != 0)
        return;
    // Also if the test is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, 1);
    dup2(output, 2);
    execv(arguments[0], arguments.data());
    _exit(127);
}

void Daemon::signal(int number)
{
    if (m_pid > 0)
        kill(m_pid, number);
}

bool Daemon::hasEnded()
{
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid)
        m_pid = -1;
    return m_pid <= 0;
}

bool Daemon::isReady(int timeoutMs)
{
    const auto line = Line::connect(m_settings.ip, m_settings.port + 1, timeoutMs);
    if (!line || !line->send("GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
        return false;
    const auto answer = line->readLine(timeoutMs);
    return answer && answer->find(" 200 ") != std::string::npos;
}

}

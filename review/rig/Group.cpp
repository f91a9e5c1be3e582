#include "Group.h"

#include "Json.h"

#include <algorithm>
#include <sstream>
#include <thread>

namespace rig {

namespace {

    constexpr double heartbeat = 1200;
    constexpr double handshake = 12;
    constexpr double idleLimit = 60'000;

    std::string extractWord(std::string& text)
    {
        const size_t blank = text.find(' ');
        std::string word = text.substr(0, blank);
        text = blank == std::string::npos ? "" : text.substr(blank + 1);
        return word;
    }

    std::pair<uint64_t, uint64_t> parsePosition(const std::string& text)
    {
        const size_t dot = text.find('.');
        return { std::stoull("0" + text.substr(0, dot)), std::stoull("0" + text.substr(dot + 1)) };
    }

    std::string error(const char* code, const std::string& id)
    {
        return std::string("ERROR ") + code + " " + id + "\r\n";
    }

}

Group::Group(std::string service, std::string host, GroupTimes times, int maxConnections, int slots)
    : m_service(std::move(service))
    , m_host(std::move(host))
    , m_times(times)
    , m_maxConnections(maxConnections)
    , m_slots(slots)
{
}

void Group::start(Store& store, const std::string& id, const std::string& zone, int port)
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        Server& server = m_servers[id];
        server.id = id;
        server.zone = zone;
        server.port = port;
        server.isPrimary = m_servers.size() == 1;
        server.born = 1.79e12 + now();
        if (const Server* primary = leader()) {
            server.term = primary->term;
            server.log = primary->log;
        }
    }
    listenOn(m_host, port, [this, id](const std::shared_ptr<Connection>& connection) { serve(id, connection); });
    std::thread([this, &store, id] {
        while (true) {
            {
                std::lock_guard<std::mutex> lock(m_mutex);
                Server& server = m_servers[id];
                if (server.isGone)
                    break;
                report(store, server);
            }
            sleepFor(heartbeat);
        }
        store.drop("servers", id);
    }).detach();
}

void Group::report(Store& store, Server& server)
{
    Json::Value row(Json::objectValue);
    row["service"] = m_service;
    row["address"] = m_host + ":" + std::to_string(server.port);
    row["zone"] = server.zone;
    row["version"] = "v1";
    row["slots"] = m_slots;
    row["state"] = server.isDraining ? "draining" : "ready";
    row["cold-remaining-ms"] = 0;
    row["sequence"] = Json::UInt64(++server.sequence);
    row["database-role"] = server.isPrimary ? "primary" : "replica";
    row["born"] = Json::Int64(server.born);
    store.put("servers", server.id, writeJson(row));
}

void Group::drain(Store& store, const std::string& id)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_servers[id].isDraining = true;
    report(store, m_servers[id]);
    record("server " + id + " reports draining");
    std::thread([this, id] {
        sleepFor(m_times.drain + 500);
        std::lock_guard<std::mutex> inner(m_mutex);
        m_servers[id].isGone = true;
        for (const auto& it : m_servers[id].connections)
            it->shutDown();
        record("server " + id + " ends");
    }).detach();
}

int Group::promote(Store& store, const std::string& id)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_servers.find(id);
    if (it == m_servers.end() || it->second.isGone)
        return 409;
    if (leader() == &it->second)
        return 200;
    std::thread([this, &store, id] {
        sleepFor(m_times.promote);
        std::unique_lock<std::mutex> inner(m_mutex);
        Server& server = m_servers[id];
        Server* old = leader();
        if (old == &server)
            return;
        replicate(server);
        server.term = old->term + 1;
        server.isPrimary = true;
        record("server " + id + " leads term " + std::to_string(server.term) + " with " + std::to_string(server.log.size()) + " commits");
        report(store, server);
        const std::string oldId = old->id;
        inner.unlock();
        // The old primary reaches the new one and yields within a second.
        sleepFor(1000);
        inner.lock();
        m_servers[oldId].isPrimary = false;
        report(store, m_servers[oldId]);
    }).detach();
    return 200;
}

std::string Group::primary()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return leader()->id;
}

std::vector<Entry> Group::log()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return leader()->log;
}

std::map<std::string, int> Group::runs()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_runs;
}

std::set<std::string> Group::begun()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_begun;
}

Group::Server* Group::leader()
{
    Server* newest = nullptr;
    for (auto& [id, it] : m_servers) {
        if (it.isPrimary && (!newest || it.term > newest->term))
            newest = &it;
    }
    return newest;
}

void Group::replicate(Server& server)
{
    const Server* primary = leader();
    if (server.isPrimary || !primary)
        return;
    const double received = now() - m_times.lag;
    size_t common = 0;
    while (common < server.log.size() && common < primary->log.size() && server.log[common].statement == primary->log[common].statement)
        ++common;
    // A log that went another way is rolled back.
    server.log.resize(common);
    for (size_t n = common; n < primary->log.size() && primary->log[n].committedAt <= received; ++n)
        server.log.push_back(primary->log[n]);
    server.term = primary->term;
}

std::string Group::position(const Server& server)
{
    return server.log.empty() ? std::to_string(server.term) + ".0" : std::to_string(server.log.back().term) + "." + std::to_string(server.log.back().number);
}

std::string Group::status(const Server& server)
{
    std::ostringstream row;
    row << "DATAROW " << (server.isPrimary ? "primary" : "replica") << ' ' << server.term << ' ' << position(server) << " 0 " << (server.isPrimary ? 0 : static_cast<int>(m_times.lag)) << ' ' << server.busy << ' ' << server.connections.size() << "\r\nCOMPLETE -\r\n";
    return row.str();
}

void Group::commit(Server& server, const std::string& statement, const std::vector<std::pair<std::string, std::string>>& changes)
{
    for (const auto& [item, data] : changes)
        server.log.push_back({ server.term, server.log.empty() ? 1 : server.log.back().number + 1, statement, item, data, now() });
}

std::string Group::execute(Server& server, Session& session, const std::string& statement, const std::string& word, const std::string& rest)
{
    const std::string signature = "COMPLETE " + server.id + "." + statement + "\r\n";
    if (word == "COMMIT") {
        commit(server, statement, session.changes);
        record("run " + server.id + " " + statement + " COMMIT at " + position(server));
        session = { 'I', false, {}, {}, session.prepared };
        return signature;
    }
    const size_t blank = rest.find(' ');
    const std::string item = rest.substr(0, blank);
    if (word == "READ") {
        std::string data;
        for (const auto& it : server.log) {
            if (it.item == item)
                data = it.data;
        }
        for (const auto& [changed, value] : session.changes) {
            if (changed == item)
                data = value;
        }
        record("run " + server.id + " " + statement + " READ " + item + " at " + position(server) + (server.isPrimary ? " primary" : " replica") + ": " + (data.empty() ? "-" : data));
        return "DATAROW " + (data.empty() ? "-" : data) + "\r\n" + signature;
    }
    const std::string data = blank == std::string::npos ? "" : rest.substr(blank + 1);
    ++m_runs[statement];
    if (session.state == 'T') {
        session.changes.emplace_back(item, data);
    } else {
        commit(server, statement, { { item, data } });
        record("run " + server.id + " " + statement + " WRITE " + item + " " + data + " at " + position(server));
    }
    return signature;
}

std::string Group::run(Server& server, Session& session, const std::string& statement, std::string text)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    replicate(server);
    std::string word = extractWord(text);
    if (word == "STATUS" || word == "DEMOTE") {
        if (word == "DEMOTE" && server.term < std::stoull("0" + text))
            server.isPrimary = false;
        return status(server);
    }
    if (word == "AFTER") {
        const auto required = parsePosition(extractWord(text));
        if (parsePosition(position(server)) < required)
            return error("LAGGING", server.id);
        word = extractWord(text);
    }
    if (word == "RESET")
        session.prepared.clear();
    if (word == "PREPARE") {
        const std::string name = extractWord(text);
        session.prepared[name] = text;
    }
    if (word == "DEALLOCATE")
        session.prepared.erase(text);
    if (word == "RESET" || word == "PREPARE" || word == "DEALLOCATE" || word == "SET")
        return "COMPLETE -\r\n";
    if (word == "ROLLBACK") {
        session = { 'I', false, {}, {}, session.prepared };
        return "COMPLETE -\r\n";
    }
    if (session.state == 'E')
        return error("MALFORMED", server.id);
    if (word == "BEGIN") {
        session.isReadOnly = text == "READ";
        if (!session.isReadOnly && !server.isPrimary)
            return error("READONLY", server.id);
        session.state = 'T';
        return "COMPLETE -\r\n";
    }
    if (word == "EXECUTE") {
        const std::string name = extractWord(text);
        const auto it = session.prepared.find(name);
        if (it == session.prepared.end())
            return error("NOSTMT", server.id);
        word = it->second.substr(0, it->second.find(' '));
    }
    const bool needsPrimary = session.state == 'T' ? !session.isReadOnly : word == "WRITE";
    if (needsPrimary && !server.isPrimary) {
        session.state = session.state == 'T' ? 'E' : 'I';
        return error("READONLY", server.id);
    }
    if (server.busy >= m_slots) {
        // Waits for a slot.
        while (server.busy >= m_slots) {
            lock.unlock();
            sleepFor(1);
            lock.lock();
        }
    }
    ++server.busy;
    m_begun.insert(statement);
    lock.unlock();
    sleepFor(m_times.work);
    lock.lock();
    --server.busy;
    replicate(server);
    if (needsPrimary && !server.isPrimary) {
        session.state = session.state == 'T' ? 'E' : 'I';
        return error("READONLY", server.id);
    }
    return execute(server, session, statement, word, text);
}

void Group::serve(const std::string& id, const std::shared_ptr<Connection>& connection)
{
    const auto startup = connection->readLine(idleLimit);
    if (!startup)
        return;
    std::istringstream words(*startup);
    std::string word;
    std::string service;
    std::string who;
    std::string expected;
    words >> word >> service >> who >> expected;
    Server* server = nullptr;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        server = &m_servers[id];
        if (server->isGone)
            return;
        if (word != "STARTUP" || service != m_service || (!expected.empty() && expected != id)) {
            connection->send(error("MISROUTED", id));
            return;
        }
        if (static_cast<int>(server->connections.size()) >= m_maxConnections) {
            record("server " + id + " refuses a connection: TOOMANY");
            connection->send(error("TOOMANY", id));
            return;
        }
        server->connections.insert(connection);
    }
    sleepFor(handshake);
    Session session;
    const auto ready = [&] {
        std::lock_guard<std::mutex> lock(m_mutex);
        return std::string("READY ") + session.state + " " + position(*server) + "\r\n";
    };
    connection->send(ready());
    while (auto line = connection->readLine(idleLimit)) {
        if (extractWord(*line) != "QUERY")
            break;
        const std::string statement = extractWord(*line);
        const std::string answer = run(*server, session, statement, *line);
        if (!connection->send(answer + ready()))
            break;
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    server->connections.erase(connection);
}

}

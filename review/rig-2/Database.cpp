#include "Database.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace rig {

namespace {

    /// The answers of one connection, in order, and those that are sent a second time.
    class Answers {
    public:
        explicit Answers(std::shared_ptr<Stream> stream)
            : m_stream(std::move(stream))
        {
        }

        bool send(const std::string& text)
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            return m_stream->send(text);
        }

        /// Sends the text again after the delay, in the order of the calls.
        static void repeat(const std::shared_ptr<Answers>& self, const std::string& text, int64_t delayMs)
        {
            const std::lock_guard<std::mutex> lock(self->m_mutex);
            self->m_repeats.emplace_back(nowMs() + delayMs, text);
            if (std::exchange(self->m_isRepeating, true))
                return;
            std::thread([weak = std::weak_ptr<Answers>(self)] {
                for (;;) {
                    sleepMs(1);
                    const auto it = weak.lock();
                    if (!it)
                        return;
                    const std::lock_guard<std::mutex> inner(it->m_mutex);
                    while (!it->m_repeats.empty() && it->m_repeats.front().first <= nowMs()) {
                        it->m_stream->send(it->m_repeats.front().second);
                        it->m_repeats.pop_front();
                    }
                }
            }).detach();
        }

    private:
        std::shared_ptr<Stream> m_stream;
        std::mutex m_mutex;
        std::deque<std::pair<int64_t, std::string>> m_repeats;
        bool m_isRepeating { false };
    };

    std::string takeWord(std::string& text)
    {
        const size_t blank = text.find(' ');
        const std::string word = text.substr(0, blank);
        text = blank == std::string::npos ? "" : text.substr(blank + 1);
        return word;
    }

    std::string describe(const std::map<std::string, std::string>& values)
    {
        std::string text;
        for (const auto& [name, value] : values)
            text += name + "=" + value + ";";
        return text;
    }

    int64_t unixMs()
    {
        using namespace std::chrono;
        return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    }

}

void Ledger::add(const std::string& id, SentStatement statement)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_statements[id] = std::move(statement);
}

bool Ledger::find(const std::string& id, SentStatement& statement) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_statements.find(id);
    if (it == m_statements.end())
        return false;
    statement = it->second;
    return true;
}

Database::Database(DatabaseSettings settings, Store& store, Record& record, Ledger& ledger)
    : m_settings(std::move(settings))
    , m_store(store)
    , m_record(record)
    , m_ledger(ledger)
{
}

bool Database::addServer(const std::string& id, const std::string& zone, const std::string& host, uint16_t port)
{
    auto owned = std::make_unique<Server>();
    Server& server = *owned;
    server.id = id;
    server.zone = zone;
    server.host = host;
    server.port = port;
    server.born = unixMs();
    server.isPrimary = m_servers.empty();
    server.listener = std::make_unique<Listener>(host, port, [this, &server](std::shared_ptr<Stream> stream) { serve(server, stream); });
    const bool isOpen = server.listener->isOpen();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_servers.push_back(std::move(owned));
        publish(server);
    }
    std::thread([this, &server] {
        for (;;) {
            sleepMs(m_settings.heartbeatMs);
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (!server.isUp)
                return;
            if (!server.isCut)
                publish(server);
        }
    }).detach();
    return isOpen;
}

void Database::publish(Server& server)
{
    Json::Value row(Json::objectValue);
    row["service"] = m_settings.service;
    row["address"] = server.host + ":" + std::to_string(server.port);
    row["zone"] = server.zone;
    row["version"] = "v1";
    row["slots"] = m_settings.slots;
    row["state"] = server.isDraining ? "draining" : "ready";
    row["cold-remaining-ms"] = 0;
    row["sequence"] = Json::UInt64(++server.sequence);
    row["born"] = Json::Int64(server.born);
    row["database-role"] = server.isPrimary ? "primary" : "replica";
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    m_store.put("servers", server.id, Json::writeString(builder, row));
}

int Database::promote(const std::string& id, const std::string& holder, const std::string& fence)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = std::find_if(m_servers.begin(), m_servers.end(), [&](const auto& server) { return server->id == id; });
    const int status = it == m_servers.end() || !(*it)->isUp ? 409 : 200;
    m_record.write("promotion of " + id + " asked by " + holder + " with fence " + fence + " -> " + std::to_string(status));
    if (status != 200 || (*it)->isPrimary)
        return status;
    std::thread([this, &server = **it] {
        sleepMs(m_settings.promoteMs);
        const std::lock_guard<std::mutex> inner(m_mutex);
        if (!server.isUp || server.isCut || server.isPrimary)
            return;
        uint64_t newest = 0;
        for (const auto& each : m_servers)
            newest = std::max(newest, each->term);
        server.isPrimary = true;
        server.term = newest + 1;
        Promotion promotion { server.id, nowMs(), {} };
        for (const auto& each : server.log)
            promotion.commits.insert(each.id);
        m_record.write("promoted " + server.id + " in term " + std::to_string(server.term) + " with " + std::to_string(server.log.size()) + " commits in its log");
        m_promotions.push_back(std::move(promotion));
        // The old primary continues until a second after it can reach the new one.
        for (const auto& each : m_servers) {
            if (each.get() == &server || !each->isPrimary || !each->isUp)
                continue;
            std::thread([this, &old = *each] {
                sleepMs(1000);
                const std::lock_guard<std::mutex> last(m_mutex);
                old.isPrimary = false;
                replicate();
            }).detach();
        }
        replicate();
        publish(server);
        m_changed.notify_all();
    }).detach();
    return status;
}

// Each running replica receives the log of the primary of the newest term. What it holds beyond the common part is rolled back.
void Database::replicate()
{
    const Server* primary = nullptr;
    for (const auto& it : m_servers) {
        if (it->isPrimary && it->isUp && (!primary || primary->term < it->term))
            primary = it.get();
    }
    if (!primary || primary->isCut)
        return;
    for (const auto& it : m_servers) {
        if (it->isPrimary || !it->isUp || it->isDeaf || it->isCut)
            continue;
        size_t common = 0;
        while (common < it->log.size() && common < primary->log.size() && it->log[common].id == primary->log[common].id)
            ++common;
        it->log.resize(common);
        for (size_t n = common; n < primary->log.size(); ++n) {
            it->log.push_back(primary->log[n]);
            it->log.back().receivedAt = nowMs();
        }
        it->term = primary->term;
    }
    m_changed.notify_all();
}

void Database::crash(const std::string& id)
{
    std::set<std::shared_ptr<Stream>> streams;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const auto& it : m_servers) {
            if (it->id != id)
                continue;
            it->isUp = false;
            it->listener->stop();
            streams = it->streams;
        }
        m_record.write("server " + id + " crashes");
        m_changed.notify_all();
    }
    for (const auto& it : streams) {
        it->resetOnClose();
        it->shutDown();
    }
}

void Database::setDeaf(const std::string& id, bool isDeaf)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& it : m_servers) {
        if (it->id == id)
            it->isDeaf = isDeaf;
    }
    m_record.write("replica " + id + (isDeaf ? " receives nothing from now on" : " receives the log again"));
    replicate();
}

void Database::setStuttering(const std::string& id, bool isStuttering)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& it : m_servers) {
        if (it->id == id)
            it->isStuttering = isStuttering;
    }
    m_record.write("server " + id + (isStuttering ? " stutters: it answers twice" : " answers once"));
}

std::string Database::signatureOf(const std::string& id)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_signatures.find(id);
    return it == m_signatures.end() ? "" : it->second;
}

void Database::setCut(const std::string& id, bool isCut)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& it : m_servers) {
        if (it->id != id)
            continue;
        it->isCut = isCut;
        if (!isCut)
            publish(*it);
    }
    m_record.write("the zone of server " + id + (isCut ? " is partitioned from the others" : " is reached again"));
    replicate();
}

// What is sent over a partitioned path arrives when the partition has ended.
void Database::awaitPath(Server& server, std::unique_lock<std::mutex>& lock)
{
    m_changed.wait(lock, [&server] { return !server.isCut || !server.isUp; });
}

void Database::drain(const std::string& id)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& it : m_servers) {
        if (it->id != id)
            continue;
        it->isDraining = true;
        publish(*it);
    }
    m_record.write("server " + id + " reports that it is draining, and the store has accepted that");
}

std::string Database::primary()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Server* primary = nullptr;
    for (const auto& it : m_servers) {
        if (it->isPrimary && it->isUp && (!primary || primary->term < it->term))
            primary = it.get();
    }
    return primary ? primary->id : "";
}

std::set<std::string> Database::commitsAt(const std::string& id)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::set<std::string> commits;
    for (const auto& it : m_servers) {
        if (it->id != id)
            continue;
        for (const auto& each : it->log)
            commits.insert(each.id);
    }
    return commits;
}

std::vector<std::string> Database::violations()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_violations;
}

std::vector<Database::Promotion> Database::promotions()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_promotions;
}

void Database::report(const std::string& violation)
{
    m_violations.push_back(violation);
    m_record.write("VIOLATION " + violation);
}

void Database::serve(Server& server, const std::shared_ptr<Stream>& stream)
{
    uint64_t number = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!server.isUp)
            return;
        number = ++m_lastConnection;
        ++server.connections;
        server.streams.insert(stream);
    }
    serveSession(server, stream, number);
    const std::lock_guard<std::mutex> lock(m_mutex);
    --server.connections;
    server.streams.erase(stream);
}

void Database::serveSession(Server& server, const std::shared_ptr<Stream>& stream, uint64_t number)
{
    std::string line;
    if (!stream->readLine(line) || takeWord(line) != "STARTUP")
        return;
    const std::string service = takeWord(line);
    takeWord(line);
    const std::string expected = takeWord(line);
    if (service != m_settings.service || (!expected.empty() && expected != server.id)) {
        stream->send("ERROR MISROUTED " + server.id + "\r\n");
        return;
    }
    Session session;
    session.number = number;
    std::unique_lock<std::mutex> lock(m_mutex);
    awaitPath(server, lock);
    if (server.connections > m_settings.maxConnections) {
        lock.unlock();
        stream->send("ERROR TOOMANY " + server.id + "\r\n");
        return;
    }
    constexpr int64_t handshakeMs = 12;
    takeSlot(server, lock, handshakeMs);
    const auto position = [&] { return std::to_string(server.term) + "." + std::to_string(server.log.size()); };
    const std::string greeting = "READY I " + position() + "\r\n";
    lock.unlock();
    const auto answers = std::make_shared<Answers>(stream);
    if (!answers->send(greeting))
        return;
    while (stream->readLine(line)) {
        const std::string word = takeWord(line);
        if (word != "QUERY")
            return;
        const std::string id = takeWord(line);
        lock.lock();
        awaitPath(server, lock);
        const Reply reply = run(server, session, id, line, lock);
        awaitPath(server, lock);
        const bool isUp = server.isUp;
        const bool isRepeated = server.isStuttering;
        std::string text;
        for (const auto& it : reply.rows)
            text += "DATAROW " + it + "\r\n";
        text += reply.error.empty() ? "COMPLETE " + reply.signature + "\r\n" : "ERROR " + reply.error + " " + server.id + "\r\n";
        text += std::string("READY ") + session.state + " " + position() + "\r\n";
        lock.unlock();
        if (!isUp || !answers->send(text))
            return;
        if (isRepeated)
            Answers::repeat(answers, text, m_settings.stutterMs);
    }
}

// A server that is busy queues a statement, and refuses it when the queue is full.
bool Database::takeSlot(Server& server, std::unique_lock<std::mutex>& lock, int64_t workMs)
{
    if (server.running >= m_settings.slots && server.waiting >= m_settings.queue)
        return false;
    ++server.waiting;
    m_changed.wait(lock, [&] { return server.running < m_settings.slots || !server.isUp; });
    --server.waiting;
    ++server.running;
    lock.unlock();
    sleepMs(workMs);
    lock.lock();
    --server.running;
    m_changed.notify_all();
    return true;
}

size_t Database::applied(const Server& server) const
{
    if (server.isPrimary)
        return server.log.size();
    size_t count = server.log.size();
    while (count > 0 && server.log[count - 1].receivedAt + m_settings.lagMs > nowMs())
        --count;
    return count;
}

std::string Database::valueAt(const Server& server, const std::string& item) const
{
    for (size_t n = applied(server); n > 0; --n) {
        const auto& changes = server.log[n - 1].changes;
        const auto last = std::find_if(changes.rbegin(), changes.rend(), [&item](const auto& it) { return it.first == item; });
        if (last != changes.rend())
            return last->second;
    }
    return "none";
}

bool Database::commit(Server& server, const std::string& id, const std::vector<std::pair<std::string, std::string>>& changes, std::unique_lock<std::mutex>& lock)
{
    if (changes.empty())
        return true;
    if (!server.isPrimary)
        return false;
    server.log.push_back({ id, changes, nowMs() });
    const size_t number = server.log.size();
    replicate();
    m_record.write("commit " + id + " at " + server.id + " as " + std::to_string(server.term) + "." + std::to_string(number));
    if (m_settings.syncReplicas == 0)
        return true;
    // Acknowledged once one replica has received it.
    m_changed.wait(lock, [&] {
        return !server.isUp || std::any_of(m_servers.begin(), m_servers.end(), [&](const auto& it) { return it.get() != &server && it->isUp && it->log.size() >= number && it->log[number - 1].id == id; });
    });
    return true;
}

Database::Reply Database::statusOf(const Server& server) const
{
    const std::string position = std::to_string(server.term) + "." + std::to_string(server.log.size());
    Reply reply;
    reply.rows = { std::string(server.isPrimary ? "primary " : "replica ") + std::to_string(server.term) + " " + position + " 0 0 " + std::to_string(server.running) + " " + std::to_string(server.connections) };
    return reply;
}

void Database::checkRun(Server& server, const Session& session, const std::string& id, const std::string& text, const std::string& shape)
{
    m_record.write("run at " + server.id + " connection " + std::to_string(session.number) + " id " + id + " text " + text + (shape.empty() ? "" : " shape [" + shape + "]") + " values " + describe(session.values));
    SentStatement sent;
    if (!m_ledger.find(id, sent))
        return report("UNASKED: " + server.id + " runs the statement " + id + " (" + text + "), which no client has sent");
    if (sent.shape != shape)
        report("PINNED: " + server.id + " runs the statement " + id + " (client's text: " + sent.text + ") as the shape [" + shape + "]; its client prepared [" + sent.shape + "]");
    if (sent.values != session.values)
        report("PINNED: " + server.id + " runs the statement " + id + " (" + sent.text + ") with the values " + describe(session.values) + "; those acknowledged to its client are " + describe(sent.values));
}

Database::Reply Database::run(Server& server, Session& session, const std::string& id, std::string text, std::unique_lock<std::mutex>& lock)
{
    std::string rest = text;
    std::string word = takeWord(rest);
    if (word == "AFTER") {
        const std::string mark = takeWord(rest);
        text = rest;
        word = takeWord(rest);
        const size_t dot = mark.find('.');
        const std::pair<uint64_t, uint64_t> wanted { std::stoull(mark.substr(0, dot)), std::stoull(mark.substr(dot + 1)) };
        const std::pair<uint64_t, uint64_t> held { server.term, applied(server) };
        if (held < wanted) {
            if (session.state == 'T')
                session.state = 'E';
            return { {}, "-", "LAGGING" };
        }
    }
    Reply reply = runStatement(server, session, id, word, rest, text, lock);
    const bool hasFailed = !reply.error.empty() && reply.error != "BUSY";
    if (hasFailed && session.state == 'T')
        session.state = 'E';
    return reply;
}

Database::Reply Database::runStatement(Server& server, Session& session, const std::string& id, const std::string& word, const std::string& rest, const std::string& text, std::unique_lock<std::mutex>& lock)
{
    const auto refuse = [](const char* code) { return Reply { {}, "-", code }; };
    const auto sign = [&] { return m_signatures[id] = "sig." + server.id + "." + std::to_string(++m_lastSignature); };
    constexpr int64_t statusMs = 1;
    if (word == "STATUS")
        return takeSlot(server, lock, statusMs) ? statusOf(server) : refuse("BUSY");
    if (word == "DEMOTE") {
        if (server.isPrimary && std::stoull(rest) > server.term) {
            server.isPrimary = false;
            replicate();
            publish(server);
        }
        return statusOf(server);
    }
    if (word == "ROLLBACK") {
        session.state = 'I';
        session.changes.clear();
        return {};
    }
    if (word == "COMMIT" && session.state == 'E') {
        session.state = 'I';
        session.changes.clear();
        return refuse("ABORTED");
    }
    if (session.state == 'E')
        return refuse("MALFORMED");
    if (word == "BEGIN") {
        if (session.state != 'I')
            return refuse("MALFORMED");
        if (rest != "READ" && !server.isPrimary)
            return refuse("READONLY");
        session.state = 'T';
        session.isReadOnly = rest == "READ";
        session.changes.clear();
        return {};
    }
    std::string fields = rest;
    if (word == "SET") {
        const std::string name = takeWord(fields);
        session.values[name] = fields;
        return {};
    }
    if (word == "PREPARE") {
        const std::string name = takeWord(fields);
        session.prepared[name] = { takeWord(fields) == "WRITE", rest.substr(name.size() + 1) };
        return {};
    }
    if (word == "DEALLOCATE")
        return session.prepared.erase(rest) > 0 ? Reply {} : refuse("NOSTMT");
    if (word == "RESET") {
        session.values.clear();
        session.prepared.clear();
        return {};
    }
    if (word == "COMMIT") {
        if (session.state != 'T')
            return refuse("MALFORMED");
        if (!takeSlot(server, lock, m_settings.workMs))
            return refuse("BUSY");
        const bool isCommitted = commit(server, id, session.changes, lock);
        session.state = 'I';
        session.changes.clear();
        if (!isCommitted)
            return refuse("READONLY");
        return { {}, sign(), "" };
    }
    bool isWrite = word == "WRITE";
    std::string shape;
    if (word == "EXECUTE") {
        const auto it = session.prepared.find(takeWord(fields));
        if (it == session.prepared.end())
            return refuse("NOSTMT");
        isWrite = it->second.isWrite;
        shape = it->second.shape;
    } else if (word != "READ" && word != "WRITE") {
        return refuse("MALFORMED");
    }
    if (isWrite && (!server.isPrimary || (session.state == 'T' && session.isReadOnly)))
        return refuse("READONLY");
    if (!takeSlot(server, lock, m_settings.workMs))
        return refuse("BUSY");
    checkRun(server, session, id, text, shape);
    const std::string item = takeWord(fields);
    if (!isWrite)
        return { { valueAt(server, item) }, sign(), "" };
    const std::pair<std::string, std::string> change { item, fields };
    if (session.state == 'T')
        session.changes.push_back(change);
    else if (!commit(server, id, { change }, lock))
        return refuse("READONLY");
    return { {}, sign(), "" };
}

}

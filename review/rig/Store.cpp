#include "Store.h"

#include "Json.h"

#include <algorithm>
#include <cctype>

namespace rig {

namespace {

    constexpr const char* alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    /// Time that the store takes for an answer.
    constexpr double answerTime = 4;

    std::map<std::string, std::string> queryOf(const std::string& target)
    {
        std::map<std::string, std::string> query;
        size_t at = target.find('?');
        while (at != std::string::npos && at + 1 < target.size()) {
            const size_t end = target.find('&', at + 1);
            const std::string item = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            const size_t equals = item.find('=');
            if (equals != std::string::npos)
                query[item.substr(0, equals)] = item.substr(equals + 1);
            at = end;
        }
        return query;
    }

}

std::string encodeBase64(const std::string& text)
{
    std::string result;
    for (size_t n = 0; n < text.size(); n += 3) {
        uint32_t bits = 0;
        for (size_t k = 0; k < 3; ++k)
            bits = bits << 8 | (n + k < text.size() ? static_cast<unsigned char>(text[n + k]) : 0);
        for (size_t k = 0; k < 4; ++k)
            result += n + k <= text.size() ? alphabet[bits >> (18 - 6 * k) & 63] : '=';
    }
    return result;
}

std::string decodeBase64(const std::string& text)
{
    const std::string letters = alphabet;
    std::string result;
    uint32_t bits = 0;
    int count = 0;
    for (const char it : text) {
        const size_t value = letters.find(it);
        if (value == std::string::npos)
            break;
        bits = bits << 6 | static_cast<uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            result += static_cast<char>(bits >> count & 255);
        }
    }
    return result;
}

void Store::serve(const std::string& name, const std::string& host, int port)
{
    listenOn(host, port, [this, name](const std::shared_ptr<Connection>& connection) { handle(name, *connection); });
}

void Store::setSilent(const std::string& name, bool isSilent)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (isSilent)
        m_silent.insert(name);
    else
        m_silent.erase(name);
    m_changed.notify_all();
}

bool Store::isSilent(const std::string& name)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_silent.count(name) > 0;
}

void Store::put(const std::string& table, const std::string& key, const std::string& value)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_rows[{ table, key }] = { encodeBase64(value), ++m_version, false };
    m_changed.notify_all();
}

void Store::drop(const std::string& table, const std::string& key)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_rows[{ table, key }] = { "", ++m_version, true };
    m_changed.notify_all();
}

std::string Store::get(const std::string& table, const std::string& key)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_rows.find({ table, key });
    return it == m_rows.end() || it->second.isDeleted ? "" : decodeBase64(it->second.encoded);
}

void Store::handle(const std::string& name, Connection& connection)
{
    constexpr double requestTimeout = 15'000;
    const auto request = connection.readLine(requestTimeout);
    if (!request)
        return;
    const size_t blank = request->find(' ');
    const std::string method = request->substr(0, blank);
    const std::string target = request->substr(blank + 1, request->rfind(' ') - blank - 1);
    std::map<std::string, std::string> headers;
    while (const auto line = connection.readLine(requestTimeout)) {
        if (line->empty())
            break;
        const size_t colon = line->find(':');
        std::string field = line->substr(0, colon);
        std::transform(field.begin(), field.end(), field.begin(), [](unsigned char it) { return std::tolower(it); });
        headers[field] = colon == std::string::npos ? "" : line->substr(line->find_first_not_of(' ', colon + 1));
    }
    std::string body;
    if (headers.count("content-length") > 0) {
        const auto read = connection.readBytes(std::stoul(headers["content-length"]), requestTimeout);
        if (!read)
            return;
        body = *read;
    }
    const bool isForTables = target.rfind("/rows-", 0) == 0;
    const auto awaitEnd = [&connection] {
        constexpr double longestWait = 30'000;
        connection.readLine(longestWait);
    };
    if (isForTables && isSilent(name))
        return awaitEnd();
    if (!isForTables && m_deliver && !m_deliver(name, connection))
        return awaitEnd();
    sleepFor(answerTime);
    const Answer answer = process(method, target, headers, body);
    // A connection on which a response is lost delivers nothing further, until the client closes it.
    if (isForTables && isSilent(name)) {
        record("no response to " + name + ": " + method + " " + target.substr(0, 60));
        return awaitEnd();
    }
    connection.send("HTTP/1.1 " + std::to_string(answer.status) + " Answer\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body);
}

Store::Answer Store::process(const std::string& method, const std::string& target, const std::map<std::string, std::string>& headers, const std::string& body)
{
    const std::string path = target.substr(0, target.find('?'));
    auto query = queryOf(target);
    if (method == "POST" && path == "/rows-tx")
        return transact(body);
    if (method == "POST" && path == "/promotion") {
        const Json::Value call = parseJson(body);
        const auto header = [&headers](const char* field) { return headers.count(field) > 0 ? headers.at(field) : std::string(); };
        return { m_promote(call["service"].asString(), call["id"].asString(), header("lease-holder"), std::stoull("0" + header("fencing-token"))), "{}" };
    }
    std::unique_lock<std::mutex> lock(m_mutex);
    if (path == "/rows-get")
        return { 200, rows(query["table"], 0, false) };
    if (path == "/rows-feed") {
        const uint64_t after = std::stoull("0" + query["after"]);
        if (after > m_version)
            return { 410, "{}" };
        const auto wait = std::chrono::milliseconds(std::stol("0" + query["wait-ms"]));
        m_changed.wait_for(lock, wait, [&] { return hasChange(query["table"], after); });
        return { 200, rows(query["table"], after, true) };
    }
    return { 404, "{}" };
}

bool Store::hasChange(const std::string& table, uint64_t after) const
{
    return std::any_of(m_rows.begin(), m_rows.end(), [&](const auto& it) { return it.first.first == table && it.second.version > after; });
}

std::string Store::rows(const std::string& table, uint64_t after, bool isFeed)
{
    Json::Value body(Json::objectValue);
    body["rows"] = Json::Value(Json::arrayValue);
    std::vector<std::pair<uint64_t, Json::Value>> found;
    for (const auto& [name, row] : m_rows) {
        if (name.first != table || row.version <= after || (row.isDeleted && !isFeed))
            continue;
        Json::Value value(Json::objectValue);
        value["table"] = name.first;
        value["part"] = "";
        value["key"] = name.second;
        value["schema-version"] = Json::UInt64(row.version);
        value["value"] = row.encoded;
        if (row.isDeleted)
            value["deleted"] = true;
        found.emplace_back(row.version, std::move(value));
    }
    if (isFeed)
        std::stable_sort(found.begin(), found.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    for (auto& it : found)
        body["rows"].append(std::move(it.second));
    body["has-more"] = false;
    body["schema-version"] = Json::UInt64(m_version);
    body["current-time-ms"] = Json::Int64(now() + 1'000'000);
    return writeJson(body);
}

Store::Answer Store::transact(const std::string& body)
{
    const Json::Value request = parseJson(body);
    std::lock_guard<std::mutex> lock(m_mutex);
    Json::Value answer(Json::objectValue);
    answer["rows"] = Json::Value(Json::arrayValue);
    bool isExpected = true;
    for (const auto& it : request["expect"]) {
        const auto row = m_rows.find({ it["table"].asString(), it["key"].asString() });
        const bool exists = row != m_rows.end() && !row->second.isDeleted;
        isExpected = isExpected && (exists ? row->second.version : 0) == it["schema-version"].asUInt64();
        if (!exists)
            continue;
        Json::Value current = it;
        current["schema-version"] = Json::UInt64(row->second.version);
        current["value"] = row->second.encoded;
        answer["rows"].append(std::move(current));
    }
    if (isExpected) {
        answer["rows"].clear();
        ++m_version;
        for (const auto& it : request["set-keys"])
            m_rows[{ it["table"].asString(), it["key"].asString() }] = { it["value"].asString(), m_version, false };
        for (const auto& it : request["remove"])
            m_rows[{ it["table"].asString(), it["key"].asString() }] = { "", m_version, true };
        m_changed.notify_all();
    }
    answer["schema-version"] = Json::UInt64(m_version);
    answer["current-time-ms"] = Json::Int64(now() + 1'000'000);
    return { isExpected ? 200 : 412, writeJson(answer) };
}

}

#include "Store.h"

#include <algorithm>
#include <sstream>

namespace rig {

namespace {

    constexpr const char* alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    /// transaction-latency-ms of the settings.
    constexpr int64_t transactionLatencyMs = 3;
    constexpr size_t maxRowsPerPage = 500;

    std::string percentDecoded(const std::string& text)
    {
        std::string result;
        for (size_t n = 0; n < text.size(); ++n) {
            if (text[n] == '%' && n + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
                n += 2;
            } else {
                result += text[n];
            }
        }
        return result;
    }

    std::map<std::string, std::string> queryOf(const std::string& target)
    {
        std::map<std::string, std::string> query;
        const size_t mark = target.find('?');
        if (mark == std::string::npos)
            return query;
        std::istringstream in(target.substr(mark + 1));
        for (std::string part; std::getline(in, part, '&');) {
            const size_t equals = part.find('=');
            if (equals != std::string::npos)
                query[percentDecoded(part.substr(0, equals))] = percentDecoded(part.substr(equals + 1));
        }
        return query;
    }

    std::string text(const Json::Value& value)
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        return Json::writeString(builder, value);
    }

    bool parse(const std::string& body, Json::Value& value)
    {
        const Json::CharReaderBuilder builder;
        std::istringstream in(body);
        std::string errors;
        return Json::parseFromStream(builder, in, &value, &errors) && value.isObject();
    }

}

std::string base64(const std::string& bytes)
{
    std::string result;
    for (size_t n = 0; n < bytes.size(); n += 3) {
        uint32_t word = 0;
        for (size_t k = 0; k < 3; ++k)
            word = word << 8 | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0);
        for (size_t k = 0; k < 4; ++k)
            result += n + k <= bytes.size() ? alphabet[word >> (18 - 6 * k) & 63] : '=';
    }
    return result;
}

std::string unbase64(const std::string& text)
{
    std::string result;
    uint32_t word = 0;
    int bits = 0;
    for (const char it : text) {
        const char* at = std::strchr(alphabet, it);
        if (it == '=' || !at)
            break;
        word = word << 6 | static_cast<uint32_t>(at - alphabet);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            result += static_cast<char>(word >> bits & 0xff);
        }
    }
    return result;
}

Store::Store(const std::string& host, uint16_t port, Promote promote)
    : m_promote(std::move(promote))
    , m_listener(host, port, [this](std::shared_ptr<Stream> stream) { serve(stream); })
{
}

void Store::put(const std::string& table, const std::string& key, const std::string& value)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_rows[{ table, key }] = { value, ++m_version, false };
    m_changed.notify_all();
}

void Store::drop(const std::string& table, const std::string& key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_rows[{ table, key }] = { "", ++m_version, true };
    m_changed.notify_all();
}

std::string Store::get(const std::string& table, const std::string& key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_rows.find({ table, key });
    return it == m_rows.end() ? "" : it->second.value;
}

void Store::serve(const std::shared_ptr<Stream>& stream)
{
    for (std::string line; stream->readLine(line);) {
        std::istringstream first(line);
        std::string method;
        std::string target;
        first >> method >> target;
        std::map<std::string, std::string> headers;
        while (stream->readLine(line) && !line.empty()) {
            const size_t colon = line.find(':');
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char it) { return std::tolower(it); });
            const size_t begin = line.find_first_not_of(' ', colon + 1);
            headers[name] = begin == std::string::npos ? "" : line.substr(begin);
        }
        std::string body;
        const size_t length = headers.count("content-length") > 0 ? std::stoul(headers["content-length"]) : 0;
        if (!stream->readBytes(body, length))
            return;
        const Answer answer = handle(method, target, headers, body);
        const bool isLast = headers["connection"] == "close" || headers["connection"] == "Close";
        stream->send("HTTP/1.1 " + std::to_string(answer.status) + " Answer\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(answer.body.size())
            + (isLast ? "\r\nConnection: close" : "") + "\r\n\r\n" + answer.body);
        if (isLast)
            return;
    }
}

Store::Answer Store::handle(const std::string& method, const std::string& target, const std::map<std::string, std::string>& headers, const std::string& body)
{
    const std::string path = target.substr(0, target.find('?'));
    if (method == "POST" && path == "/rows-tx")
        return transact(body);
    if (method == "GET" && path == "/rows-get")
        return read(queryOf(target));
    if (method == "GET" && path == "/rows-feed")
        return feed(queryOf(target));
    if (method == "POST" && path == "/promotion") {
        Json::Value request;
        if (!parse(body, request))
            return { 400, "{}" };
        const auto header = [&headers](const char* name) {
            const auto it = headers.find(name);
            return it == headers.end() ? std::string() : it->second;
        };
        return { m_promote(request["service"].asString(), request["id"].asString(), header("lease-holder"), header("fencing-token")), "{}" };
    }
    return { 404, "{}" };
}

Json::Value Store::encode(const Key& key, const Row& row)
{
    Json::Value value(Json::objectValue);
    value["table"] = key.first;
    value["part"] = "";
    value["key"] = key.second;
    value["schema-version"] = Json::UInt64(row.version);
    if (row.isDeleted)
        value["deleted"] = true;
    else
        value["value"] = base64(row.value);
    return value;
}

Store::Answer Store::rowsAnswer(int status, Json::Value rows, bool hasMore) const
{
    Json::Value body(Json::objectValue);
    body["rows"] = std::move(rows);
    body["has-more"] = hasMore;
    body["schema-version"] = Json::UInt64(m_version);
    body["current-time-ms"] = Json::Int64(nowMs());
    return { status, text(body) };
}

Store::Answer Store::transact(const std::string& body)
{
    Json::Value request;
    if (!parse(body, request))
        return { 400, "{}" };
    sleepMs(transactionLatencyMs);
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto keyOf = [](const Json::Value& it) { return Key { it["table"].asString(), it["key"].asString() }; };
    Json::Value current(Json::arrayValue);
    bool isExpected = true;
    for (const auto& it : request["expect"]) {
        const auto row = m_rows.find(keyOf(it));
        const bool exists = row != m_rows.end() && !row->second.isDeleted;
        isExpected = isExpected && it["schema-version"].asUInt64() == (exists ? row->second.version : 0);
        if (exists)
            current.append(encode(row->first, row->second));
    }
    if (!isExpected)
        return rowsAnswer(412, std::move(current), false);
    ++m_version;
    for (const auto& it : request["set-keys"])
        m_rows[keyOf(it)] = { unbase64(it["value"].asString()), m_version, false };
    for (const auto& it : request["remove"])
        m_rows[keyOf(it)] = { "", m_version, true };
    m_changed.notify_all();
    return rowsAnswer(200, Json::Value(Json::arrayValue), false);
}

Store::Answer Store::read(std::map<std::string, std::string> query)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Json::Value rows(Json::arrayValue);
    for (auto it = m_rows.lower_bound({ query["table"], query["start-key"] }); it != m_rows.end() && it->first.first == query["table"]; ++it) {
        if (it->second.isDeleted)
            continue;
        if (rows.size() >= maxRowsPerPage)
            return rowsAnswer(200, std::move(rows), true);
        rows.append(encode(it->first, it->second));
    }
    return rowsAnswer(200, std::move(rows), false);
}

Store::Answer Store::feed(std::map<std::string, std::string> query)
{
    const uint64_t after = std::stoull(query["after"]);
    const int64_t wait = std::stoll(query["wait-ms"]);
    std::unique_lock<std::mutex> lock(m_mutex);
    std::vector<std::pair<Key, Row>> changed;
    const auto collect = [&] {
        changed.clear();
        for (auto it = m_rows.lower_bound({ query["table"], "" }); it != m_rows.end() && it->first.first == query["table"]; ++it) {
            if (it->second.version > after)
                changed.emplace_back(it->first, it->second);
        }
        return !changed.empty();
    };
    m_changed.wait_for(lock, std::chrono::milliseconds(wait), collect);
    std::sort(changed.begin(), changed.end(), [](const auto& a, const auto& b) { return a.second.version < b.second.version; });
    Json::Value rows(Json::arrayValue);
    for (const auto& [key, row] : changed)
        rows.append(encode(key, row));
    return rowsAnswer(200, std::move(rows), false);
}

}

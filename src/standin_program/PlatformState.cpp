#include "standin_program/PlatformState.h"

#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace parsleypaddle {

namespace {

    constexpr const char* tableFolder = "/table/";
    constexpr int statusBadRequest = 400;
    constexpr int statusNotModified = 304;
    constexpr int statusNotFound = 404;
    constexpr int statusNotAllowed = 405;
    constexpr int statusConditionFailed = 412;

    bool isUnder(const std::string& path, const std::string& folder)
    {
        return path.compare(0, folder.size(), folder) == 0 && path.size() > folder.size();
    }

    bool parse(const std::string& text, Json::Value& value)
    {
        const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
        std::string faults;
        return reader->parse(text.data(), text.data() + text.size(), &value, &faults) && value.isObject();
    }

    PlatformStandinAnswer refusal(int status, const std::string& why)
    {
        PlatformStandinAnswer answer;
        answer.status = status;
        answer.body = why + "\n";
        return answer;
    }

    PlatformStandinAnswer content(const std::string& body, const std::string& etag = "")
    {
        PlatformStandinAnswer answer;
        answer.body = body;
        answer.etag = etag;
        return answer;
    }

}

PlatformStandinAnswer PlatformState::answer(const PlatformStandinRequest& request)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (request.method == "POST" && request.path == "/fault")
        return setFaults(request.body);
    if (request.method == "POST" && request.path == "/instances")
        return setList(request.body);
    if (request.method == "GET" && request.path == "/state")
        return counts();
    if (m_isDown) {
        PlatformStandinAnswer silence;
        silence.isSilent = true;
        return silence;
    }
    PlatformStandinAnswer answer = answerService(request);
    answer.delay = m_delay;
    const bool isWrite = request.method == "PUT";
    ++(isWrite ? m_writes : m_reads);
    if (isWrite && m_answersToLose) {
        --m_answersToLose;
        answer.isSilent = true;
    }
    if (isWrite && m_rowAnswersToLose && isUnder(request.path, tableFolder)) {
        --m_rowAnswersToLose;
        answer.isSilent = true;
    }
    return answer;
}

PlatformStandinAnswer PlatformState::answerService(const PlatformStandinRequest& request)
{
    const std::string objects = "/objects/";
    if (isUnder(request.path, tableFolder))
        return answerRow(request.path.substr(std::string(tableFolder).size()), request);
    if (isUnder(request.path, objects))
        return answerObject(request.path.substr(objects.size()), request);
    if (request.path == "/instances" && request.method == "GET")
        return answerList(request.ifNoneMatch);
    return refusal(statusNotFound, "no such path");
}

PlatformStandinAnswer PlatformState::answerRow(const std::string& key, const PlatformStandinRequest& request)
{
    auto it = m_rows.find(key);
    const bool isThere = it != m_rows.end();
    if (request.method == "GET")
        return isThere ? content(it->second.value, it->second.etag) : refusal(statusNotFound, "no such row");
    if (request.method != "PUT")
        return refusal(statusNotAllowed, "GET or PUT");
    const bool expectsNone = request.ifNoneMatch == "*";
    const bool isAsExpected = expectsNone ? !isThere : isThere && !request.ifMatch.empty() && it->second.etag == request.ifMatch;
    if (!isAsExpected)
        return refusal(statusConditionFailed, "the row is not as expected");
    Row& row = m_rows[key];
    row = { request.body, "\"" + std::to_string(++m_lastEtag) + "\"" };
    return content("", row.etag);
}

PlatformStandinAnswer PlatformState::answerObject(const std::string& name, const PlatformStandinRequest& request)
{
    if (request.method == "PUT") {
        m_objects[name] = request.body;
        return content("");
    }
    auto it = m_objects.find(name);
    return it == m_objects.end() ? refusal(statusNotFound, "no such object") : content(it->second);
}

PlatformStandinAnswer PlatformState::answerList(const std::string& known) const
{
    const auto asOf = std::chrono::steady_clock::now() - std::chrono::duration<double, std::milli>(m_listLag.count());
    std::string json = "{}";
    size_t n = 0;
    while (n < m_lists.size() && m_lists[n].at <= asOf)
        json = m_lists[n++].json;
    const std::string etag = "\"list-" + std::to_string(n) + "\"";
    if (known != etag)
        return content(json, etag);
    PlatformStandinAnswer unchanged;
    unchanged.status = statusNotModified;
    unchanged.etag = etag;
    return unchanged;
}

PlatformStandinAnswer PlatformState::setList(const std::string& json)
{
    Json::Value value;
    if (!parse(json, value) || !value["instances"].isArray())
        return refusal(statusBadRequest, "an object with a list of instances");
    m_lists.push_back({ std::chrono::steady_clock::now(), json });
    return content("{}");
}

PlatformStandinAnswer PlatformState::setFaults(const std::string& json)
{
    Json::Value value;
    if (!parse(json, value))
        return refusal(statusBadRequest, "an object with down, slow_ms, lose_answers, lose_row_answers or list_lag_ms");
    for (const auto& it : value.getMemberNames()) {
        const Json::Value& field = value[it];
        if (it == "down" && field.isBool())
            m_isDown = field.asBool();
        else if (it == "slow_ms" && field.isNumeric())
            m_delay = Milliseconds(field.asDouble());
        else if (it == "lose_answers" && field.isUInt())
            m_answersToLose = field.asUInt();
        else if (it == "lose_row_answers" && field.isUInt())
            m_rowAnswersToLose = field.asUInt();
        else if (it == "list_lag_ms" && field.isNumeric())
            m_listLag = Milliseconds(field.asDouble());
        else
            return refusal(statusBadRequest, "unknown fault " + it);
    }
    return content("{}");
}

PlatformStandinAnswer PlatformState::counts() const
{
    Json::Value value;
    value["reads"] = Json::UInt64(m_reads);
    value["writes"] = Json::UInt64(m_writes);
    value["rows"] = Json::UInt64(m_rows.size());
    value["objects"] = Json::UInt64(m_objects.size());
    return content(Json::writeString(Json::StreamWriterBuilder(), value) + "\n");
}

}

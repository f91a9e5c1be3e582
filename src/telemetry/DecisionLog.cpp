#include "telemetry/DecisionLog.h"

#include <algorithm>
#include <json/writer.h>
#include <log4cxx/logger.h>

namespace parsleypaddle {

namespace {

    /// Writing a line takes about 10 microseconds: at this rate, logging uses less than a thousandth of a processor core.
    constexpr double linesPerSecond = 60;
    /// The limit for lines logged at once. It is meant to hold the lines that explain a change of primary or a restart of many
    /// callers.
    constexpr double burstLines = 400;

    std::string toJson(const Json::Value& line)
    {
        static const Json::StreamWriterBuilder builder = [] {
            Json::StreamWriterBuilder it;
            it["indentation"] = "";
            return it;
        }();
        return Json::writeString(builder, line);
    }

    void writeToLogger(const std::string& line)
    {
        static const auto logger = log4cxx::Logger::getLogger("decisions");
        logger->info(line);
    }

}

DecisionLog::DecisionLog(const EventLoop& loop, std::string instance, Sink sink)
    : m_loop(loop)
    , m_instance(std::move(instance))
    , m_sink(sink ? std::move(sink) : Sink(writeToLogger))
    , m_allowance(burstLines)
    , m_refilledAt(loop.now())
{
}

bool DecisionLog::consumeAllowance()
{
    constexpr double millisecondsPerSecond = 1000;
    const Instant now = m_loop.now();
    m_allowance = std::min(burstLines, m_allowance + (now - m_refilledAt).count() * linesPerSecond / millisecondsPerSecond);
    m_refilledAt = now;
    if (m_allowance < 1)
        return false;
    m_allowance -= 1;
    return true;
}

void DecisionLog::write(std::string_view event, std::initializer_list<LogField> fields)
{
    if (!consumeAllowance()) {
        ++m_dropped;
        return;
    }
    writeUnlimited(event, fields);
}

void DecisionLog::writeUnlimited(std::string_view event, std::initializer_list<LogField> fields)
{
    Json::Value line(Json::objectValue);
    line["at_ms"] = static_cast<Json::Int64>(m_loop.now().sinceEpoch());
    line["instance"] = m_instance;
    line["event"] = std::string(event);
    for (const auto& [name, value] : fields)
        line[name] = value;
    if (m_dropped != m_reportedDropped)
        line["dropped_lines"] = static_cast<Json::UInt64>(m_dropped);
    m_reportedDropped = m_dropped;
    m_sink(toJson(line));
}

}

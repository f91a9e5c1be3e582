#include "overhead/OverheadReport.h"

#include <absl/strings/str_format.h>
#include <json/writer.h>
#include <ostream>

namespace parsleypaddle {

namespace {

    double ratioOf(double part, double whole)
    {
        return whole > 0 ? part / whole : 0;
    }

    Json::Value jsonOf(const LoadResult& result)
    {
        Json::Value json;
        json["per_second"] = result.perSecond;
        json["median_ms"] = result.median.count();
        json["p99_ms"] = result.p99.count();
        json["failures"] = Json::UInt64(result.failures);
        return json;
    }

    Json::Value jsonOf(const OverheadRow& row)
    {
        Json::Value json;
        json["connections"] = Json::UInt64(row.connections);
        json["direct"] = jsonOf(row.direct);
        json["daemon"] = jsonOf(row.daemon);
        json["throughput_ratio"] = ratioOf(row.daemon.perSecond, row.direct.perSecond);
        json["median_ratio"] = ratioOf(row.daemon.median.count(), row.direct.median.count());
        json["p99_ratio"] = ratioOf(row.daemon.p99.count(), row.direct.p99.count());
        return json;
    }

    void printFailures(std::ostream& out, const char* side, const LoadResult& result)
    {
        if (result.failures > 0)
            out << absl::StreamFormat("  %s: %d failures, the last: %s\n", side, result.failures, result.lastFailure);
    }

    void printRow(std::ostream& out, const OverheadRow& row)
    {
        out << absl::StreamFormat("%11d %12.0f %12.0f %6.2f %10.3f %10.3f %10.3f %10.3f\n", row.connections, row.direct.perSecond, row.daemon.perSecond,
            ratioOf(row.daemon.perSecond, row.direct.perSecond), row.direct.median.count(), row.daemon.median.count(), row.direct.p99.count(), row.daemon.p99.count());
        printFailures(out, "direct", row.direct);
        printFailures(out, "daemon", row.daemon);
    }

}

void printTable(std::ostream& out, const OverheadReport& report)
{
    out << absl::StreamFormat("%11s %12s %12s %6s %10s %10s %10s %10s\n", "connections", "direct/s", "daemon/s", "ratio", "median ms", "daemon", "p99 ms", "daemon");
    for (const auto& it : report.rows)
        printRow(out, it);
    if (report.memory)
        out << absl::StreamFormat("idle connections %d: resident %d kB before, %d kB after, %.1f kB each\n", report.memory->connections, report.memory->before, report.memory->after, report.memory->perConnection());
}

void printJson(std::ostream& out, const OverheadReport& report)
{
    Json::Value json;
    json["rows"] = Json::arrayValue;
    for (const auto& it : report.rows)
        json["rows"].append(jsonOf(it));
    if (report.memory) {
        json["idle"]["connections"] = Json::UInt64(report.memory->connections);
        json["idle"]["resident_before_kb"] = Json::UInt64(report.memory->before);
        json["idle"]["resident_after_kb"] = Json::UInt64(report.memory->after);
        json["idle"]["kb_each"] = report.memory->perConnection();
    }
    out << Json::writeString(Json::StreamWriterBuilder(), json) << '\n';
}

}

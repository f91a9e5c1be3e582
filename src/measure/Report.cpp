#include "measure/Report.h"

#include <absl/strings/str_format.h>
#include <cmath>
#include <json/json.h>

namespace parsleypaddle {

namespace {

    struct Column {
        const char* key;
        double (*value)(const Measures&);
    };

    const Column columns[] = {
        { "replica_read_share", [](const Measures& it) { return it.replicaReadShare; } },
        { "allowed_replica_reads", [](const Measures& it) { return it.allowedReplicaReads; } },
        { "failover_gap_ms", [](const Measures& it) { return it.failoverGap; } },
        { "crest_in_deadline_share", [](const Measures& it) { return it.crestInDeadlineShare; } },
        { "crest_answered_share", [](const Measures& it) { return it.crestAnsweredShare; } },
        { "after_crest_answered_share", [](const Measures& it) { return it.afterCrestAnsweredShare; } },
        { "short_p99_ms", [](const Measures& it) { return it.shortP99; } },
        { "short_p99_without_stragglers_ms", [](const Measures& it) { return it.shortP99WithoutStragglers; } },
        { "one_daemon_p99_ms", [](const Measures& it) { return it.oneDaemonP99; } },
        { "one_daemon_answered_share", [](const Measures& it) { return it.oneDaemonAnsweredShare; } },
        { "daemon_death_gap_ms", [](const Measures& it) { return it.daemonDeathGap; } },
        { "most_connections", [](const Measures& it) { return static_cast<double>(it.mostConnections); } },
        { "doubled", [](const Measures& it) { return static_cast<double>(it.faults.doubled); } },
        { "lost", [](const Measures& it) { return static_cast<double>(it.faults.lost); } },
        { "stale_session_reads", [](const Measures& it) { return static_cast<double>(it.faults.staleSessionReads); } },
        { "acked_by_replaced", [](const Measures& it) { return static_cast<double>(it.faults.ackedByReplaced); } },
        { "false_not_run", [](const Measures& it) { return static_cast<double>(it.faults.falseNotRun); } },
        { "mixed_transactions", [](const Measures& it) { return static_cast<double>(it.faults.mixedTransactions); } },
        { "work_to_leaving", [](const Measures& it) { return static_cast<double>(it.faults.workToLeaving); } },
    };

    double rounded(double value)
    {
        constexpr double steps = 10'000;
        return std::round(value * steps) / steps;
    }

    Json::Value toValue(const Measures& measures)
    {
        Json::Value value(Json::objectValue);
        for (const auto& it : columns)
            value[it.key] = rounded(it.value(measures));
        return value;
    }

}

std::string toJson(const Comparison& comparison)
{
    Json::Value value(Json::objectValue);
    value["workload"] = comparison.workload;
    value["seed"] = Json::UInt64(comparison.seed);
    value["naive"] = toValue(comparison.naive);
    value["product"] = toValue(comparison.product);
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["precision"] = 10;
    return Json::writeString(builder, value) + "\n";
}

std::string toTable(const Comparison& comparison)
{
    std::string table = absl::StrFormat("%s, seed %d\n%-34s %12s %12s\n", comparison.workload, comparison.seed, "", "naive", "product");
    for (const auto& it : columns)
        absl::StrAppendFormat(&table, "%-34s %12.4f %12.4f\n", it.key, it.value(comparison.naive), it.value(comparison.product));
    return table;
}

std::string toCsv(const std::vector<SeriesPoint>& naive, const std::vector<SeriesPoint>& product)
{
    std::string csv = "at_ms,asked,naive_answered,product_answered,naive_p99_ms,product_p99_ms\n";
    for (size_t n = 0; n < product.size(); ++n)
        absl::StrAppendFormat(&csv, "%.0f,%d,%d,%d,%.2f,%.2f\n", product[n].at.count(), product[n].asked, naive[n].answered, product[n].answered, naive[n].p99, product[n].p99);
    return csv;
}

}

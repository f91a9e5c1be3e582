#include "measure/Report.h"

#include <absl/strings/str_format.h>
#include <cmath>
#include <json/json.h>

namespace parsleypaddle {

namespace {

    const std::pair<const char*, double Measures::*> columns[] = {
        { "replica_read_share", &Measures::replicaReadShare },
        { "allowed_replica_reads", &Measures::allowedReplicaReads },
        { "failover_gap_ms", &Measures::failoverGap },
        { "crest_in_deadline_share", &Measures::crestInDeadlineShare },
        { "crest_answered_share", &Measures::crestAnsweredShare },
        { "after_crest_answered_share", &Measures::afterCrestAnsweredShare },
        { "short_p99_ms", &Measures::shortP99 },
        { "short_p99_without_stragglers_ms", &Measures::shortP99WithoutStragglers },
        { "one_daemon_p99_ms", &Measures::oneDaemonP99 },
        { "one_daemon_answered_share", &Measures::oneDaemonAnsweredShare },
        { "daemon_death_gap_ms", &Measures::daemonDeathGap },
        { "most_connections", &Measures::mostConnections },
    };

    const std::pair<const char*, uint64_t FaultCounts::*> counts[] = {
        { "doubled", &FaultCounts::doubled },
        { "lost", &FaultCounts::lost },
        { "stale_session_reads", &FaultCounts::staleSessionReads },
        { "acked_by_replaced", &FaultCounts::ackedByReplaced },
        { "false_not_run", &FaultCounts::falseNotRun },
        { "mixed_transactions", &FaultCounts::mixedTransactions },
        { "work_to_leaving", &FaultCounts::workToLeaving },
    };

    double rounded(double value)
    {
        constexpr double steps = 10'000;
        return std::round(value * steps) / steps;
    }

    Json::Value toValue(const Measures& measures)
    {
        Json::Value value(Json::objectValue);
        for (const auto& [key, member] : columns)
            value[key] = rounded(measures.*member);
        for (const auto& [key, member] : counts)
            value[key] = Json::UInt64(measures.faults.*member);
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
    for (const auto& [key, member] : columns)
        absl::StrAppendFormat(&table, "%-34s %12.4f %12.4f\n", key, comparison.naive.*member, comparison.product.*member);
    for (const auto& [key, member] : counts)
        absl::StrAppendFormat(&table, "%-34s %12d %12d\n", key, comparison.naive.faults.*member, comparison.product.faults.*member);
    return table;
}

std::string toCsv(const std::vector<SeriesPoint>& naive, const std::vector<SeriesPoint>& product)
{
    std::string csv = "at_ms,asked,naive_answered_share,product_answered_share,naive_p99_ms,product_p99_ms\n";
    for (size_t n = 0; n < product.size(); ++n)
        absl::StrAppendFormat(&csv, "%.0f,%d,%.4f,%.4f,%.2f,%.2f\n", product[n].at.count(), product[n].asked, naive[n].answeredShare, product[n].answeredShare, naive[n].p99, product[n].p99);
    return csv;
}

}

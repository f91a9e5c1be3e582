#include "telemetry/Metrics.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

using namespace parsleypaddle;

namespace {

RequestMeasure measureOf(const std::string& organisation, ResultCode code = ResultCode::Done)
{
    return { OrganisationId(organisation), ClassName("fitting"), code, Milliseconds(7), true, true };
}

bool hasLine(const std::string& text, const std::string& line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

}

TEST_CASE("requests, work items, counters and gauges appear in the text output under their labels", "[telemetry]")
{
    Metrics metrics({});
    metrics.recordRequest(measureOf("shop-1"));
    metrics.recordRequest(measureOf("shop-1", ResultCode::Overloaded));
    for (int n = 0; n < 2; ++n)
        metrics.recordWork({ OrganisationId("shop-1"), ClassName("fitting"), Milliseconds(1), Milliseconds(3) });
    metrics.count(MetricCounter::Promotions);
    for (const double it : { 2.0, 5.0, 5.0 })
        metrics.raiseTo(MetricCounter::KeysRefused, it);
    metrics.set(MetricGauge::ConfigurationVersion, 7);
    const auto text = metrics.text();
    CHECK(hasLine(text, R"(parsleypaddle_shop_total_milliseconds_bucket{shop="shop-1",le="10"} 2)"));
    CHECK(hasLine(text, R"(parsleypaddle_shop_total_milliseconds_bucket{shop="shop-1",le="5"} 0)"));
    CHECK(hasLine(text, R"(parsleypaddle_shop_wait_milliseconds_sum{shop="shop-1"} 2)"));
    CHECK(hasLine(text, R"(parsleypaddle_class_run_milliseconds_sum{class="fitting"} 6)"));
    CHECK(hasLine(text, R"(parsleypaddle_answers_total{code="overloaded",outcome="not_run"} 1)"));
    CHECK(hasLine(text, "parsleypaddle_promotions_total 1"));
    CHECK(hasLine(text, "parsleypaddle_keys_refused_total 5"));
    CHECK(hasLine(text, "parsleypaddle_reads_at_replica_total 1"));
    CHECK(hasLine(text, "parsleypaddle_configuration_version 7"));
}

TEST_CASE("organisations beyond the limit share the label \"other\"", "[telemetry]")
{
    Metrics metrics({ 2, 1 });
    for (int n = 0; n < 1000; ++n)
        metrics.recordRequest(measureOf("shop-" + std::to_string(n)));
    const auto text = metrics.text();
    CHECK(hasLine(text, R"(parsleypaddle_shop_total_milliseconds_count{shop="shop-1"} 1)"));
    CHECK(hasLine(text, R"(parsleypaddle_shop_total_milliseconds_count{shop="other"} 998)"));
    CHECK(text.find("shop-2\"") == std::string::npos);
}

TEST_CASE("docs/METRICS.md lists exactly the exposed metrics", "[telemetry]")
{
    std::ifstream file(std::string(PARSLEYPADDLE_SOURCE_DIR) + "/docs/METRICS.md");
    std::set<std::string> listed;
    for (std::string line; std::getline(file, line);) {
        if (line.rfind("| `parsleypaddle_", 0) == 0)
            listed.insert(line.substr(3, line.find('`', 3) - 3));
    }
    Metrics metrics({});
    metrics.recordRequest(measureOf("shop-1"));
    metrics.recordWork({ OrganisationId("shop-1"), ClassName("fitting"), Milliseconds(1), Milliseconds(3) });
    std::set<std::string> exposed;
    std::istringstream text(metrics.text());
    for (std::string line; std::getline(text, line);) {
        const std::string prefix = "# TYPE ";
        if (line.rfind(prefix, 0) == 0)
            exposed.insert(line.substr(prefix.size(), line.find(' ', prefix.size()) - prefix.size()));
    }
    CHECK(listed == exposed);
}

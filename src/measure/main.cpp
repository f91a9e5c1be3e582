#include "measure/Report.h"

#include <absl/strings/numbers.h>
#include <getopt.h>
#include <iostream>

using namespace parsleypaddle;

namespace {

constexpr int usageError = 2;
constexpr char usage[] = "usage: parsleypaddle-measure --workload teranga|vizitka [--seed N] [--json|--csv] [--break RULE]\n"
                         "rules: session-position, ledger, confirmation, unknown-outcome, transaction-connection, leaving\n";

struct Options {
    std::string workload;
    uint64_t seed { 1 };
    bool isJson { false };
    bool isCsv { false };
    std::set<BrokenRule> brokenRules;
};

bool breakRule([[maybe_unused]] Options& options, const std::string& name)
{
#ifdef PARSLEYPADDLE_TEST_HOOKS
    const auto rule = parseBrokenRule(name);
    if (rule)
        options.brokenRules.insert(*rule);
    return rule.has_value();
#else
    std::cerr << "this build has no test hooks: rule " << name << " cannot be broken\n";
    return false;
#endif
}

std::optional<Options> parse(int argc, char** argv)
{
    static const option longOptions[] = {
        { "workload", required_argument, nullptr, 'w' },
        { "seed", required_argument, nullptr, 's' },
        { "json", no_argument, nullptr, 'j' },
        { "csv", no_argument, nullptr, 'c' },
        { "break", required_argument, nullptr, 'b' },
        { nullptr, 0, nullptr, 0 },
    };
    Options options;
    int found = 0;
    while ((found = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) {
        bool isValid = found != '?';
        if (found == 'w')
            options.workload = optarg;
        if (found == 's')
            isValid = absl::SimpleAtoi(optarg, &options.seed);
        if (found == 'j')
            options.isJson = true;
        if (found == 'c')
            options.isCsv = true;
        if (found == 'b')
            isValid = breakRule(options, optarg);
        if (!isValid)
            return std::nullopt;
    }
    return optind == argc ? std::optional(options) : std::nullopt;
}

}

int main(int argc, char** argv)
{
    const auto options = parse(argc, argv);
    const auto deployment = options ? Deployment::find(options->workload) : std::nullopt;
    if (!deployment) {
        std::cerr << usage;
        return usageError;
    }
    std::vector<SeriesPoint> naiveSeries;
    std::vector<SeriesPoint> productSeries;
    Comparison comparison;
    comparison.workload = deployment->name;
    comparison.seed = options->seed;
    comparison.naive = measure(*deployment, { Side::Naive, options->seed, {} }, &naiveSeries);
    comparison.product = measure(*deployment, { Side::Product, options->seed, BrokenRules(options->brokenRules) }, &productSeries);
    if (options->isJson)
        std::cout << toJson(comparison);
    else if (options->isCsv)
        std::cout << toCsv(naiveSeries, productSeries);
    else
        std::cout << toTable(comparison);
    return 0;
}

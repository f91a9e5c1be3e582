#include "tests/fuzz/Coverage.h"
#include "tests/fuzz/Mutator.h"
#include "tests/fuzz/Supervision.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <getopt.h>
#include <map>
#include <optional>
#include <sstream>

using namespace parsleypaddle::fuzz;

namespace {

constexpr const char* usage = R"(Usage: fuzz-decoders [OPTION]... [FILE]...
Runs each target on its corpus and on inputs that are made from it. An input that fails is written to a file.
With FILEs, runs the target on these only.

  --target NAME     one target instead of all
  --runs N          inputs to make for each target (default 1000)
  --seconds N       make inputs for that time for each target instead
  --seed N          seed of the inputs (default 1)
  --corpus DIR      folder with a folder of inputs for each target
  --findings DIR    folder for inputs that fail (default: the current one)
  --list            print the targets
)";

struct Options {
    std::vector<const FuzzTarget*> targets;
    uint64_t runs { 1000 };
    unsigned seconds { 0 };
    uint64_t seed { 1 };
    std::filesystem::path corpus { PARSLEYPADDLE_SOURCE_DIR "/tests/fuzz/corpus" };
    std::filesystem::path findings { "." };
    std::vector<std::filesystem::path> files;
    bool isList { false };
};

using Inputs = std::map<std::filesystem::path, std::string>;

std::string readFile(const std::filesystem::path& path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// The inputs of a target by name, so that every machine has them in the same order.
Inputs readCorpus(const std::filesystem::path& folder)
{
    Inputs inputs;
    std::error_code ec;
    for (const auto& it : std::filesystem::directory_iterator(folder, ec))
        inputs[it.path()] = readFile(it.path());
    return inputs;
}

void runFiles(const Options& options)
{
    for (const auto* target : options.targets) {
        for (const auto& it : options.files)
            runSupervised(*target, readFile(it), options.findings / (it.filename().string() + ".again"));
    }
}

/// False without a corpus.
bool runTarget(const FuzzTarget& target, const Options& options)
{
    const std::string name(target.name);
    std::vector<std::string> corpus;
    for (const auto& [path, input] : readCorpus(options.corpus / name)) {
        runSupervised(target, input, options.findings / (name + "-" + path.filename().string()));
        corpus.push_back(input);
    }
    if (corpus.empty()) {
        std::fprintf(stderr, "fuzz: %s has no corpus in %s\n", name.c_str(), options.corpus.c_str());
        return false;
    }
    constexpr size_t mostInputs = 20'000;
    const size_t replayed = corpus.size();
    takeNewCoverage();
    Mutator mutator(options.seed, std::move(corpus));
    const std::string finding = options.findings / (name + "-seed-" + std::to_string(options.seed));
    std::printf("fuzz: %s: seed %llu\n", name.c_str(), static_cast<unsigned long long>(options.seed));
    std::fflush(stdout);
    if (options.seconds > 0)
        beginTime(options.seconds);
    uint64_t n = 0;
    for (; options.seconds > 0 ? !isTimeOver() : n < options.runs; ++n) {
        std::string input = mutator.next();
        runSupervised(target, input, finding);
        if (takeNewCoverage() && mutator.corpusSize() < mostInputs)
            mutator.keep(std::move(input));
    }
    std::printf("fuzz: %s: %zu inputs of the corpus and %llu made from it pass, %zu reached new code\n", name.c_str(), replayed, static_cast<unsigned long long>(n), mutator.corpusSize() - replayed);
    return true;
}

std::optional<Options> parseOptions(int argc, char** argv)
{
    enum Option : int { Target = 1,
        Runs,
        Seconds,
        Seed,
        Corpus,
        Findings,
        List };
    static const option longOptions[] { { "target", required_argument, nullptr, Target }, { "runs", required_argument, nullptr, Runs }, { "seconds", required_argument, nullptr, Seconds },
        { "seed", required_argument, nullptr, Seed }, { "corpus", required_argument, nullptr, Corpus }, { "findings", required_argument, nullptr, Findings }, { "list", no_argument, nullptr, List }, {} };
    Options options;
    for (int it = getopt_long(argc, argv, "", longOptions, nullptr); it != -1; it = getopt_long(argc, argv, "", longOptions, nullptr)) {
        switch (it) {
        case Target:
            options.targets.push_back(findFuzzTarget(optarg));
            if (!options.targets.back())
                return std::nullopt;
            break;
        case Runs:
            options.runs = std::strtoull(optarg, nullptr, 10);
            break;
        case Seconds:
            options.seconds = static_cast<unsigned>(std::strtoul(optarg, nullptr, 10));
            break;
        case Seed:
            options.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case Corpus:
            options.corpus = optarg;
            break;
        case Findings:
            options.findings = optarg;
            break;
        case List:
            options.isList = true;
            break;
        default:
            return std::nullopt;
        }
    }
    options.files.assign(argv + optind, argv + argc);
    if (options.targets.empty()) {
        for (const auto& it : fuzzTargets())
            options.targets.push_back(&it);
    }
    return options;
}

}

int main(int argc, char** argv)
{
    const auto options = parseOptions(argc, argv);
    if (!options) {
        std::fputs(usage, stderr);
        return EXIT_FAILURE;
    }
    if (options->isList) {
        for (const auto* it : options->targets)
            std::printf("%s\n", std::string(it->name).c_str());
        return EXIT_SUCCESS;
    }
    installSupervision();
    if (!options->files.empty()) {
        runFiles(*options);
        return EXIT_SUCCESS;
    }
    bool hasCorpora = true;
    for (const auto* it : options->targets)
        hasCorpora = runTarget(*it, *options) && hasCorpora;
    return hasCorpora ? EXIT_SUCCESS : EXIT_FAILURE;
}

#include "daemon/Daemon.h"
#include "daemon/DaemonSettings.h"
#include "telemetry/Logging.h"

#include <Poco/Util/Application.h>
#include <getopt.h>
#include <iostream>

namespace {

constexpr const char* usage = "usage: parsleypaddled --settings FILE [--check]\n"
                              "  -s, --settings FILE  the daemon's own settings (YAML; docs/SETTINGS.md)\n"
                              "  -c, --check          check settings and keys, and exit\n"
                              "  -h, --help           this text\n"
                              "SIGTERM or SIGINT drains: no request in flight is cut off.\n";

/// What the command line asks for.
struct CommandLine {
    std::string settingsFile;
    bool isCheck { false };
    bool isHelp { false };
    bool isWrong { false };
};

CommandLine parseCommandLine(int argc, char** argv)
{
    static const option options[] = {
        { "settings", required_argument, nullptr, 's' },
        { "check", no_argument, nullptr, 'c' },
        { "help", no_argument, nullptr, 'h' },
        { nullptr, 0, nullptr, 0 },
    };
    CommandLine line;
    for (int it = 0; (it = getopt_long(argc, argv, "s:ch", options, nullptr)) != -1;) {
        if (it == 's')
            line.settingsFile = optarg;
        else if (it == 'c')
            line.isCheck = true;
        else if (it == 'h')
            line.isHelp = true;
        else
            line.isWrong = true;
    }
    line.isWrong |= optind != argc || (line.settingsFile.empty() && !line.isHelp);
    return line;
}

int fail(const absl::Status& status)
{
    std::cerr << "parsleypaddled: " << status.message() << '\n';
    return Poco::Util::Application::EXIT_CONFIG;
}

/// POCO's application frame around the daemon; the command line is getopt's.
class DaemonApplication final : public Poco::Util::Application {
public:
    explicit DaemonApplication(CommandLine line)
        : m_line(std::move(line))
    {
    }

protected:
    int main(const std::vector<std::string>&) override
    {
        using namespace parsleypaddle;
        auto settings = loadDaemonSettings(m_line.settingsFile);
        if (!settings.ok())
            return fail(settings.status());
        auto keys = loadDaemonKeys(*settings);
        if (!keys.ok())
            return fail(keys.status());
        if (m_line.isCheck) {
            std::cout << "settings and keys are good\n";
            return EXIT_OK;
        }
        setUpLogging(settings->logLevel);
        auto daemon = Daemon::create(*settings, *keys);
        if (!daemon.ok())
            return fail(daemon.status());
        (*daemon)->run();
        return EXIT_OK;
    }

private:
    CommandLine m_line;
};

}

int main(int argc, char** argv)
{
    CommandLine line = parseCommandLine(argc, argv);
    if (line.isHelp) {
        std::cout << usage;
        return Poco::Util::Application::EXIT_OK;
    }
    if (line.isWrong) {
        std::cerr << usage;
        return Poco::Util::Application::EXIT_USAGE;
    }
    Poco::AutoPtr<DaemonApplication> application(new DaemonApplication(std::move(line)));
    return application->run();
}

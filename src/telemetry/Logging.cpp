#include "telemetry/Logging.h"

#include "telemetry/LineWriter.h"

#include <cstdlib>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>
#include <utility>

namespace parsleypaddle {

namespace {

    /// Some 5,000 lines: a minute and a half of the lines that DecisionLog writes at most under load.
    constexpr size_t maxQueuedBytes = 2 << 20;
    /// How long the end of the process waits for the log.
    constexpr Milliseconds flushLimit { 200 };

    /// The writer of standard output, which lasts until the process ends.
    std::shared_ptr<LineWriter>& outputWriter()
    {
        static auto* writer = new std::shared_ptr<LineWriter>;
        return *writer;
    }

    void flushOutput()
    {
        if (const auto& writer = outputWriter())
            writer->flush(flushLimit);
    }

    /// Passes formatted messages to a LineWriter.
    class LineWriterAppender final : public log4cxx::AppenderSkeleton {
    public:
        LineWriterAppender(log4cxx::LayoutPtr layout, std::shared_ptr<LineWriter> writer)
            : m_layout(std::move(layout))
            , m_writer(std::move(writer))
        {
        }

        void close() override { }
        bool requiresLayout() const override { return true; }

    protected:
        void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) override
        {
            log4cxx::LogString formatted;
            m_layout->format(formatted, event, pool);
            LOG4CXX_ENCODE_CHAR(line, formatted);
            m_writer->write(std::move(line));
        }

    private:
        log4cxx::LayoutPtr m_layout;
        std::shared_ptr<LineWriter> m_writer;
    };

    void logTo(const char* pattern, const log4cxx::LevelPtr& level, LineWriter::LossReport lossReport)
    {
        const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(pattern));
        const auto root = log4cxx::Logger::getRootLogger();
        root->setLevel(level);
        auto& writer = outputWriter();
        writer = LineWriter::create(STDOUT_FILENO, maxQueuedBytes, std::move(lossReport));
        if (!writer)
            return root->addAppender(log4cxx::AppenderPtr(new log4cxx::ConsoleAppender(layout)));
        root->addAppender(log4cxx::AppenderPtr(new LineWriterAppender(layout, writer)));
        std::atexit(flushOutput);
        std::at_quick_exit(flushOutput);
    }

}

void setUpDecisionLogging(const std::string& instance)
{
    logTo("%m%n", log4cxx::Level::getInfo(), [instance](uint64_t lost) { return R"({"event":"log_lines_lost","instance":")" + instance + R"(","lines":")" + std::to_string(lost) + "\"}\n"; });
}

void setUpLogging(const std::string& level)
{
    logTo("%d{ISO8601} level=%p logger=%c %m%n", log4cxx::Level::toLevel(level), [](uint64_t lost) { return "level=WARN logger=logging lines_lost=" + std::to_string(lost) + "\n"; });
}

uint64_t lostLogLines()
{
    const auto& writer = outputWriter();
    return writer ? writer->lost() : 0;
}

}

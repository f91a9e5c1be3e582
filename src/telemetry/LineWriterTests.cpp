#include "telemetry/LineWriter.h"

#include <array>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>

using namespace parsleypaddle;

namespace {

constexpr size_t maxQueuedBytes = 100'000;
constexpr Milliseconds patience { 10'000 };

/// A pipe of the usual size, 64 KiB.
class Pipe {
public:
    Pipe() { REQUIRE(::pipe(m_ends.data()) == 0); }
    ~Pipe()
    {
        closeReader();
        ::close(m_ends[1]);
    }

    Pipe(const Pipe&) = delete;
    Pipe& operator=(const Pipe&) = delete;

    int writer() const { return m_ends[1]; }

    void closeReader()
    {
        if (m_ends[0] >= 0)
            ::close(std::exchange(m_ends[0], -1));
    }

    /// Reads until the text has come, or nothing comes any more.
    std::string readUntil(const std::string& end)
    {
        std::string text;
        std::array<char, 4096> buf {};
        while (text.find(end) == std::string::npos) {
            const ssize_t n = ::read(m_ends[0], buf.data(), buf.size());
            if (n <= 0)
                break;
            text.append(buf.data(), static_cast<size_t>(n));
        }
        return text;
    }

private:
    std::array<int, 2> m_ends {};
};

std::string reportLoss(uint64_t lost)
{
    return "lost " + std::to_string(lost) + "\n";
}

}

// Guards against daemons that hang: the event loop waited while nobody read the daemon's log.
TEST_CASE("lines are written without waiting for a reader, dropped beyond the limit, and the loss is reported", "[telemetry]")
{
    Pipe pipe;
    const auto writer = LineWriter::create(pipe.writer(), maxQueuedBytes, reportLoss);
    REQUIRE(writer);
    const std::string line(99, 'x');
    // The pipe, the write in progress and the queue hold at most 65,536 and twice 100,000 bytes.
    for (int n = 0; n < 5000; ++n)
        writer->write(line + "\n");
    const uint64_t lost = writer->lost();
    CHECK(lost >= 5000 - (65'536 + 2 * maxQueuedBytes) / 100);
    CHECK_FALSE(writer->flush(Milliseconds(10)));
    std::string text;
    std::thread reader([&pipe, &text] { text = pipe.readUntil("end\n"); });
    CHECK(writer->flush(patience));
    writer->write("end\n");
    reader.join();
    CHECK(writer->lost() == lost);
    // Each line is whole, or counted in a report.
    uint64_t written = 0;
    uint64_t reported = 0;
    std::istringstream lines(text);
    for (std::string it; std::getline(lines, it);) {
        if (it == line)
            ++written;
        else if (it.rfind("lost ", 0) == 0)
            reported += std::stoull(it.substr(5));
        else
            CHECK(it == "end");
    }
    CHECK(reported == lost);
    CHECK(written + lost == 5000);
}

TEST_CASE("lines to a closed pipe are counted as lost, and do not end the process", "[telemetry]")
{
    Pipe pipe;
    const auto writer = LineWriter::create(pipe.writer(), maxQueuedBytes, reportLoss);
    REQUIRE(writer);
    pipe.closeReader();
    for (int n = 0; n < 10; ++n)
        writer->write("line\n");
    CHECK(writer->flush(patience));
    CHECK(writer->lost() == 10);
}

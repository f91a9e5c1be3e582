#include "tests/fuzz/Supervision.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <sys/time.h>
#include <unistd.h>

#if defined(__SANITIZE_ADDRESS__)
// A finding of a sanitizer then reaches the handler of SIGABRT. NOLINTBEGIN(bugprone-reserved-identifier,readability-identifier-naming)
extern "C" const char* __asan_default_options()
{
    return "abort_on_error=1";
}

extern "C" const char* __ubsan_default_options()
{
    return "abort_on_error=1:print_stacktrace=1";
}
// NOLINTEND(bugprone-reserved-identifier,readability-identifier-naming)
#endif

namespace parsleypaddle::fuzz {

namespace {

    std::string_view pendingInput;
    const char* pendingPath = "";
    volatile std::sig_atomic_t isOver = 0;

    void print(std::string_view text)
    {
        [[maybe_unused]] const auto n = write(STDERR_FILENO, text.data(), text.size());
    }

    // Calls only what a signal handler may call.
    void writeFinding(int signal)
    {
        const int file = open(pendingPath, O_WRONLY | O_CREAT | O_TRUNC, 0644);
        const bool isWritten = file >= 0 && write(file, pendingInput.data(), pendingInput.size()) == static_cast<ssize_t>(pendingInput.size());
        print(signal == SIGPROF ? "fuzz: an input takes too long: " : "fuzz: an input fails: ");
        print(pendingPath);
        print(isWritten ? "\n" : " (cannot be written)\n");
        _exit(1);
    }

    void handle(int signal, void (*handler)(int))
    {
        struct sigaction action { };
        action.sa_handler = handler;
        action.sa_flags = SA_ONSTACK;
        sigaction(signal, &action, nullptr);
    }

}

void installSupervision()
{
    // A handler of a stack overflow needs a stack of its own.
    constexpr size_t stackBytes = size_t { 64 } * 1024;
    static std::array<char, stackBytes> stack;
    stack_t alternative {};
    alternative.ss_sp = stack.data();
    alternative.ss_size = stack.size();
    sigaltstack(&alternative, nullptr);
    handle(SIGABRT, writeFinding);
    handle(SIGPROF, writeFinding);
#if !defined(__SANITIZE_ADDRESS__)
    for (const int it : { SIGSEGV, SIGBUS, SIGFPE, SIGILL })
        handle(it, writeFinding);
#endif
}

void runSupervised(const FuzzTarget& target, std::string_view input, const std::string& findingPath)
{
    pendingInput = input;
    pendingPath = findingPath.c_str();
    itimerval limit {};
    limit.it_value.tv_sec = maximumInputSeconds;
    setitimer(ITIMER_PROF, &limit, nullptr);
    target.run(input);
    limit.it_value.tv_sec = 0;
    setitimer(ITIMER_PROF, &limit, nullptr);
}

void beginTime(unsigned seconds)
{
    isOver = 0;
    handle(SIGALRM, [](int) { isOver = 1; });
    alarm(seconds);
}

bool isTimeOver()
{
    return isOver != 0;
}

}

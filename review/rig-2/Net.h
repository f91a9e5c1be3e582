#pragma once

// Small blocking helpers over loopback TCP for the stand-ins and clients of the review's scripts.

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace rig {

inline int64_t nowMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

inline void sleepMs(int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline sockaddr_in addressOf(const std::string& host, uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

/// A connected socket that is read line by line.
class Stream {
public:
    explicit Stream(int fd)
        : m_fd(fd)
    {
        int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Stream() { close(m_fd); }
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    static std::shared_ptr<Stream> connect(const std::string& host, uint16_t port)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = addressOf(host, port);
        if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
            close(fd);
            return nullptr;
        }
        return std::make_shared<Stream>(fd);
    }

    bool send(const std::string& bytes)
    {
        size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<size_t>(n);
        }
        return true;
    }

    /// Reads a line without its CR LF. False at the end, on an error, or when `deadline` passes (0: none).
    bool readLine(std::string& line, int64_t deadline = 0)
    {
        for (;;) {
            const size_t end = m_input.find("\r\n");
            if (end != std::string::npos) {
                line = m_input.substr(0, end);
                m_input.erase(0, end + 2);
                return true;
            }
            if (!receive(deadline))
                return false;
        }
    }

    bool readBytes(std::string& bytes, size_t count)
    {
        while (m_input.size() < count) {
            if (!receive(0))
                return false;
        }
        bytes = m_input.substr(0, count);
        m_input.erase(0, count);
        return true;
    }

    void shutDown() { ::shutdown(m_fd, SHUT_RDWR); }

    /// Closes the connection with a reset when this object is destroyed.
    void resetOnClose()
    {
        const linger value { 1, 0 };
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &value, sizeof(value));
    }

private:
    bool receive(int64_t deadline)
    {
        pollfd polled { m_fd, POLLIN, 0 };
        const int64_t left = deadline == 0 ? -1 : deadline - nowMs();
        if (deadline != 0 && left <= 0)
            return false;
        if (poll(&polled, 1, static_cast<int>(left)) <= 0)
            return false;
        char chunk[16384];
        const ssize_t n = recv(m_fd, chunk, sizeof(chunk), 0);
        if (n <= 0)
            return false;
        m_input.append(chunk, static_cast<size_t>(n));
        return true;
    }

    int m_fd;
    std::string m_input;
};

/// Listens on a loopback address and serves each connection on a thread of its own.
class Listener {
public:
    using Handler = std::function<void(std::shared_ptr<Stream>)>;

    Listener(const std::string& host, uint16_t port, Handler handler)
    {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in address = addressOf(host, port);
        m_isOpen = bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 && listen(m_fd, 512) == 0;
        if (!m_isOpen)
            return;
        std::thread([fd = m_fd, handler = std::move(handler)] {
            for (;;) {
                const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    if (errno == EINTR || errno == ECONNABORTED)
                        continue;
                    return;
                }
                std::thread(handler, std::make_shared<Stream>(accepted)).detach();
            }
        }).detach();
    }

    bool isOpen() const { return m_isOpen; }

    /// Refuses further connections.
    void stop()
    {
        if (m_fd >= 0)
            ::shutdown(m_fd, SHUT_RDWR);
        if (m_fd >= 0)
            close(m_fd);
        m_fd = -1;
    }

private:
    int m_fd { -1 };
    bool m_isOpen { false };
};

/// A port that nobody uses now on the host.
inline uint16_t freePort(const std::string& host)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = addressOf(host, 0);
    socklen_t size = sizeof(address);
    bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    close(fd);
    return ntohs(address.sin_port);
}

}

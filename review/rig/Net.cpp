#include "Net.h"

#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

namespace {

    std::mutex recordMutex;
    std::vector<std::string> recordLines;
    const auto startedAt = std::chrono::steady_clock::now();

    sockaddr_in addressOf(const std::string& host, int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        return address;
    }

    int newSocket()
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        return descriptor;
    }

}

double now()
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - startedAt).count();
}

void sleepFor(double milliseconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(milliseconds));
}

void record(const std::string& line)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%10.1f ", now());
    std::lock_guard<std::mutex> lock(recordMutex);
    recordLines.push_back(time + line);
}

void writeRecord(const std::string& path)
{
    std::lock_guard<std::mutex> lock(recordMutex);
    std::ofstream out(path);
    for (const auto& it : recordLines)
        out << it << '\n';
}

Connection::~Connection()
{
    close(m_descriptor);
}

std::unique_ptr<Connection> Connection::connect(const std::string& host, int port, double timeout)
{
    const int descriptor = newSocket();
    auto connection = std::make_unique<Connection>(descriptor);
    const sockaddr_in address = addressOf(host, port);
    fcntl(descriptor, F_SETFL, O_NONBLOCK);
    const bool isDone = ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    pollfd waiting { descriptor, POLLOUT, 0 };
    if (!isDone && (errno != EINPROGRESS || poll(&waiting, 1, static_cast<int>(timeout)) <= 0))
        return nullptr;
    int fault = 0;
    socklen_t size = sizeof(fault);
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &fault, &size);
    fcntl(descriptor, F_SETFL, 0);
    return fault == 0 ? std::move(connection) : nullptr;
}

bool Connection::send(const std::string& bytes)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<size_t>(n);
    }
    return true;
}

bool Connection::fill(double timeout)
{
    pollfd waiting { m_descriptor, POLLIN, 0 };
    const int ready = poll(&waiting, 1, static_cast<int>(timeout));
    m_isTimedOut = ready == 0;
    if (ready <= 0)
        return false;
    char chunk[16384];
    const ssize_t n = recv(m_descriptor, chunk, sizeof(chunk), 0);
    if (n <= 0)
        return false;
    m_input.append(chunk, static_cast<size_t>(n));
    return true;
}

std::optional<std::string> Connection::readLine(double timeout)
{
    const double end = now() + timeout;
    while (true) {
        const size_t at = m_input.find('\n');
        if (at != std::string::npos) {
            std::string line = m_input.substr(0, at);
            m_input.erase(0, at + 1);
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            return line;
        }
        const double left = end - now();
        if (left <= 0) {
            m_isTimedOut = true;
            return std::nullopt;
        }
        if (!fill(left))
            return std::nullopt;
    }
}

std::optional<std::string> Connection::readBytes(size_t count, double timeout)
{
    while (m_input.size() < count) {
        if (!fill(timeout))
            return std::nullopt;
    }
    std::string bytes = m_input.substr(0, count);
    m_input.erase(0, count);
    return bytes;
}

bool Connection::isReset() const
{
    char byte = 0;
    return recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
}

void Connection::shutDown()
{
    shutdown(m_descriptor, SHUT_RDWR);
}

void listenOn(const std::string& host, int port, std::function<void(std::shared_ptr<Connection>)> serve)
{
    const int listener = newSocket();
    const int one = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in address = addressOf(host, port);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 || listen(listener, 1024) != 0) {
        std::cerr << "cannot listen on " << host << ":" << port << '\n';
        std::_Exit(2);
    }
    std::thread([listener, serve = std::move(serve)] {
        while (true) {
            const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            const int on = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            auto connection = std::make_shared<Connection>(accepted);
            std::thread([serve, connection] { serve(connection); }).detach();
        }
    }).detach();
}

}

#include "overhead/IdleMemory.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <absl/strings/str_cat.h>
#include <fstream>

namespace parsleypaddle {

namespace {

    using Session = std::unique_ptr<Poco::Net::HTTPClientSession>;

    absl::StatusOr<uint64_t> residentKilobytes(int pid)
    {
        std::ifstream status(absl::StrCat("/proc/", pid, "/status"));
        for (std::string word; status >> word;) {
            uint64_t kilobytes = 0;
            if (word == "VmRSS:" && status >> kilobytes)
                return kilobytes;
        }
        return absl::NotFoundError(absl::StrCat("no resident size of process ", pid));
    }

    Session openIdle(const LoadAddress& address, const std::string& path)
    {
        auto session = std::make_unique<Poco::Net::HTTPClientSession>(address.host, address.port);
        session->setKeepAlive(true);
        Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_GET, path, Poco::Net::HTTPMessage::HTTP_1_1);
        session->sendRequest(request);
        Poco::Net::HTTPResponse response;
        Poco::NullOutputStream rest;
        Poco::StreamCopier::copyStream(session->receiveResponse(response), rest);
        return session;
    }

}

absl::StatusOr<IdleMemory> measureIdleMemory(const LoadAddress& address, const std::string& path, int pid, size_t connections)
{
    try {
        const auto first = openIdle(address, path);
        const auto before = residentKilobytes(pid);
        if (!before.ok())
            return before.status();
        std::vector<Session> sessions;
        for (size_t n = 0; n < connections; ++n)
            sessions.push_back(openIdle(address, path));
        const auto after = residentKilobytes(pid);
        if (!after.ok())
            return after.status();
        return IdleMemory { connections, *before, *after };
    } catch (const Poco::Exception& ec) {
        return absl::UnavailableError(ec.displayText());
    }
}

}

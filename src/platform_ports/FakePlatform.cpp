#include "platform_ports/FakePlatform.h"

#include "base/ResultCode.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    absl::Status unavailable()
    {
        return makeError(ResultCode::PlatformUnavailable, "the platform did not answer in time");
    }

}

FakePlatform::FakePlatform(EventLoop& loop, const FakePlatformSettings& settings)
    : m_loop(loop)
    , m_settings(settings)
{
}

FakePlatform::~FakePlatform() = default;

std::unique_ptr<FakePlatform::Client> FakePlatform::connect()
{
    return std::make_unique<Client>(*this);
}

void FakePlatform::setDown(bool isDown)
{
    m_isDown = isDown;
}

void FakePlatform::setDelay(Milliseconds delay)
{
    m_settings.delay = delay;
}

void FakePlatform::loseNextWriteAnswer()
{
    m_losesNextWriteAnswer = true;
}

void FakePlatform::delayNextWrite(Milliseconds delay)
{
    m_nextWriteDelay = delay;
}

void FakePlatform::setList(PlatformList list)
{
    m_lists.push_back({ m_loop.now(), std::move(list) });
}

PlatformList FakePlatform::listAsOf(Instant time) const
{
    PlatformList list;
    for (const auto& it : m_lists) {
        if (it.at <= time)
            list = it.list;
    }
    return list;
}

std::optional<TableRow> FakePlatform::row(const std::string& key) const
{
    auto it = m_rows.find(key);
    return it == m_rows.end() ? std::nullopt : std::optional<TableRow>(it->second);
}

void FakePlatform::forceRow(const std::string& key, const std::string& value)
{
    store(key, value);
}

TableRow FakePlatform::store(const std::string& key, const std::string& value)
{
    TableRow row { value, std::to_string(++m_lastEtag) };
    m_rows[key] = row;
    return row;
}

FakePlatform::Client::Client(FakePlatform& platform)
    : m_platform(platform)
    , m_isCut(std::make_shared<bool>(false))
{
}

void FakePlatform::Client::setCut(bool isCut)
{
    *m_isCut = isCut;
}

template <typename T>
void FakePlatform::Client::call(std::function<void(absl::StatusOr<T>)> done, std::function<absl::StatusOr<T>()> effect, bool isWrite)
{
    auto& platform = m_platform;
    auto& loop = platform.m_loop;
    const Milliseconds way = platform.m_settings.delay * 0.5;
    const Milliseconds timeout = platform.m_settings.timeout;
    Milliseconds held;
    if (isWrite)
        std::swap(held, platform.m_nextWriteDelay);
    // Whichever comes first, answer or timeout, is the answer.
    auto answer = std::make_shared<std::function<void(absl::StatusOr<T>)>>(std::move(done));
    const auto finish = [answer](absl::StatusOr<T> result) {
        if (auto function = std::exchange(*answer, nullptr))
            function(std::move(result));
    };
    loop.after(timeout, [finish] { finish(unavailable()); });
    loop.after(way + held, [&platform, &loop, way, isWrite, finish, effect = std::move(effect), isCut = m_isCut] {
        if (platform.m_isDown || *isCut)
            return;
        auto result = effect();
        ++(isWrite ? platform.m_counts.writes : platform.m_counts.reads);
        if (isWrite && std::exchange(platform.m_losesNextWriteAnswer, false))
            return;
        loop.after(way, [finish, isCut, result = std::move(result)] {
            if (!*isCut)
                finish(result);
        });
    });
}

void FakePlatform::Client::read(const std::string& key, ReadDone done)
{
    call<std::optional<TableRow>>(
        std::move(done), [&platform = m_platform, key] { return platform.row(key); }, false);
}

void FakePlatform::Client::write(const std::string& key, const std::string& value, const std::string& expected, WriteDone done)
{
    const auto effect = [&platform = m_platform, key, value, expected]() -> absl::StatusOr<TableRow> {
        const auto present = platform.row(key);
        if ((present ? present->etag : "") != expected)
            return makeError(ResultCode::ConfigurationConflict, "the row was changed by another write");
        return platform.store(key, value);
    };
    call<TableRow>(std::move(done), effect, true);
}

void FakePlatform::Client::get(const std::string& name, GetDone done)
{
    const auto effect = [&platform = m_platform, name]() -> absl::StatusOr<std::optional<std::string>> {
        auto it = platform.m_objects.find(name);
        return it == platform.m_objects.end() ? std::nullopt : std::optional<std::string>(it->second);
    };
    call<std::optional<std::string>>(std::move(done), effect, false);
}

void FakePlatform::Client::put(const std::string& name, const std::string& body, PutDone done)
{
    const auto effect = [&platform = m_platform, name, body]() -> absl::StatusOr<bool> {
        platform.m_objects[name] = body;
        return true;
    };
    call<bool>([done = std::move(done)](absl::StatusOr<bool> result) { done(result.status()); }, effect, true);
}

void FakePlatform::Client::list(ListDone done)
{
    const auto effect = [&platform = m_platform]() -> absl::StatusOr<PlatformList> {
        return platform.listAsOf(platform.m_loop.now() - platform.m_settings.listLag);
    };
    call<PlatformList>(std::move(done), effect, false);
}

}

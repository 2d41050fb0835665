/** @file test_gate_process.cpp Tests of the program lhub-gate as a process: signals and its log. */
#include "net/http_func.h"

#include <array>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace lhub;

/** Settings of a VM. */
struct process_settings {
    std::string text; ///< Content of the settings file.
    tcp::endpoint callers; ///< Where it serves callers.
};

/** Settings of a VM whose store does not exist, with ports that are free at its IP. */
static process_settings makeSettings(int graceSeconds)
{
    static constexpr const char* Ip = "127.0.0.9";
    asio::io_context context;
    std::vector<tcp::acceptor> acceptors; // Kept open until all ports are chosen, so that they differ.
    std::vector<std::string> addresses;
    for (int i = 0; i < 5; ++i) {
        acceptors.emplace_back(context, tcp::endpoint(asio::ip::make_address(Ip), 0));
        addresses.push_back(addressText(acceptors.back().local_endpoint()));
    }
    auto text = boost::json::serialize(boost::json::value { { "vm", "vm1" }, { "ip", Ip }, { "zone", "a1" }, { "region", "a" }, { "zones", { { "a1", "a" } } },
        { "callers", addresses[0] }, { "ready", addresses[1] }, { "lookups", addresses[2] }, { "peers", addresses[3] }, { "first_start", true },
        { "gossip_port", acceptors[4].local_endpoint().port() }, { "store", addresses[4] }, { "max_descriptors", 1000 }, { "memory_mb", 100 }, { "bounds", { { "grace_s", graceSeconds } } } });
    return { std::move(text), acceptors[0].local_endpoint() };
}

/** A temporary directory, removed with its files. */
struct temporary_directory {
    std::filesystem::path path;

    temporary_directory()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "lhub-XXXXXX").string();
        REQUIRE(::mkdtemp(pattern.data()) != nullptr);
        path = pattern;
    }
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;
    ~temporary_directory() { std::filesystem::remove_all(path); }
};

/** Starts lhub-gate with a settings file and a log file in a directory. @return its process id. */
static pid_t startGateProcess(const std::filesystem::path& directory)
{
    std::string program(LHUB_GATE_PROGRAM);
    std::string option("--settings");
    auto settings = (directory / "settings").string();
    const auto log = (directory / "log").string();
    std::array<char*, 4> arguments { program.data(), option.data(), settings.data(), nullptr };
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    pid_t pid = 0;
    REQUIRE(::posix_spawn(&pid, program.c_str(), &actions, nullptr, arguments.data(), environ) == 0);
    posix_spawn_file_actions_destroy(&actions);
    return pid;
}

static std::string readText(const std::filesystem::path& path)
{
    const std::ifstream input(path);
    std::stringstream text;
    text << input.rdbuf();
    return text.str();
}

// Guards against a planned stop that ends the process at once because its signal arrives during the start.
TEST_CASE("gate process: SIGTERM during the start begins a graceful stop")
{
    const temporary_directory directory;
    const auto settings = directory.path / "settings";
    REQUIRE(::mkfifo(settings.c_str(), 0600) == 0);
    const auto text = makeSettings(1).text;
    const auto pid = startGateProcess(directory.path);
    {
        std::ofstream pipe(settings); // Returns when the process has opened its settings, so before it is ready for anything.
        ::kill(pid, SIGTERM);
        std::ofstream(directory.path / "regular") << text; // The process reads its settings again later.
        std::filesystem::rename(directory.path / "regular", settings);
        pipe << text;
    }
    int status = 0;
    REQUIRE(::waitpid(pid, &status, 0) == pid);
    CHECK(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == 0);
    const auto log = readText(directory.path / "log");
    CHECK(log.find("event=stop ") != std::string::npos);
    CHECK(log.find("event=stopped ") != std::string::npos);
}

/** Waits until a port of a process accepts connections, or until it does not. Fails if the process ends before. */
static void awaitListening(pid_t pid, const tcp::endpoint& port, bool listening)
{
    asio::io_context context;
    boost::system::error_code error;
    do {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        tcp::socket(context).connect(port, error);
        int status = 0;
        REQUIRE(::waitpid(pid, &status, WNOHANG) == 0);
    } while ((!error) != listening);
}

// Guards against a stop whose lines are lost because the reader of the log stalls at that moment.
TEST_CASE("gate process: the lines of a stop wait for a reader of the log that comes within the grace time")
{
    const temporary_directory directory;
    const auto settings = makeSettings(4);
    std::ofstream(directory.path / "settings") << settings.text;
    REQUIRE(::mkfifo((directory.path / "log").c_str(), 0600) == 0);
    const int log = ::open((directory.path / "log").c_str(), O_RDWR | O_NONBLOCK);
    REQUIRE(::fcntl(log, F_SETPIPE_SZ, 4096) > 0);
    std::array<char, 4096> part {};
    REQUIRE(::write(log, part.data(), part.size()) == static_cast<ssize_t>(part.size())); // The pipe is full.
    const auto pid = startGateProcess(directory.path);
    awaitListening(pid, settings.callers, true);
    ::kill(pid, SIGTERM);
    awaitListening(pid, settings.callers, false); // At half of the grace time, when the stop ends.
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    ::kill(pid, SIGTERM); // A second signal must not end the process.
    std::string text;
    int status = 0;
    while (::waitpid(pid, &status, WNOHANG) == 0) {
        const auto size = ::read(log, part.data(), part.size());
        text.append(part.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    }
    for (auto size = ::read(log, part.data(), part.size()); size > 0; size = ::read(log, part.data(), part.size()))
        text.append(part.data(), static_cast<std::size_t>(size));
    ::close(log);
    CHECK(WIFEXITED(status));
    CHECK(text.find("event=start ") != std::string::npos);
    CHECK(text.find("event=stopped ") != std::string::npos);
}

// Guards against a stop that outlasts a grace time that was shortened just before.
TEST_CASE("gate process: a stop uses the grace time that the settings file has when its signal arrives")
{
    const temporary_directory directory;
    auto settings = makeSettings(60);
    std::ofstream(directory.path / "settings") << settings.text;
    const auto pid = startGateProcess(directory.path);
    awaitListening(pid, settings.callers, true);
    settings.text.replace(settings.text.find("\"grace_s\":60"), 12, "\"grace_s\":1");
    std::ofstream(directory.path / "changed") << settings.text;
    std::filesystem::rename(directory.path / "changed", directory.path / "settings");
    ::kill(pid, SIGTERM);
    int status = 0;
    REQUIRE(::waitpid(pid, &status, 0) == pid);
    CHECK(WIFEXITED(status));
    CHECK(readText(directory.path / "log").find("grace_ms=1000") != std::string::npos);
}

package org.elderhitch.app

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import org.elderhitch.http.Address
import org.elderhitch.http.HttpClient
import org.elderhitch.http.Response
import org.elderhitch.http.channelGroup
import org.elderhitch.json.Json
import org.elderhitch.time.SystemSteadyClock
import java.io.File
import java.io.IOException
import java.util.concurrent.ScheduledThreadPoolExecutor
import kotlin.time.Duration.Companion.seconds

internal class Serve : CoreCliktCommand(name = "serve") {
    private val config by option("--config", help = "the platform's settings file, JSON").required()
    private val policy by option("--policy", help = "the operators' own settings, a Lua script")
    private val features by option("--features", help = "what is switched on beyond the core, a Lua script")

    override fun help(context: Context): String = "Run a controller until it is killed"

    override fun run(): Unit = Daemon.run(config, policy, features)
}

/** A command that asks a controller something and prints its answer. */
internal abstract class Ask(name: String) : CoreCliktCommand(name = name) {
    private val node by option("--node", help = "a controller's client address").default("127.0.0.1:8080")

    protected fun ask(method: String, path: String, body: ByteArray? = null) {
        val address =
            Address.parse(node)
                ?: throw CliktError("--node: not an address of the form 127.0.0.1:8080", statusCode = USAGE)
        val loop = ScheduledThreadPoolExecutor(1) { task -> Thread(task, "loop").apply { isDaemon = true } }
        val response: Response? = runBlocking(loop.asCoroutineDispatcher()) {
            HttpClient(channelGroup(loop), SystemSteadyClock).call(address, method, path, body, TIMEOUT)
        }
        loop.shutdownNow()
        if (response == null) throw CliktError("$node doesn't answer", statusCode = NO_ANSWER)
        if (response.status >=
            FIRST_REFUSAL
        ) {
            throw CliktError("${response.status} ${response.body.decodeToString()}", statusCode = REFUSED)
        }
        echo(response.body.decodeToString())
    }

    private companion object {
        const val REFUSED = 1
        const val USAGE = 2
        const val NO_ANSWER = 3
        const val FIRST_REFUSAL = 300
        val TIMEOUT = 5.seconds
    }
}

internal class Submit : Ask("submit") {
    private val file by argument(help = "the job, a JSON file")

    override fun help(context: Context): String = "Submit a job; a repeat with the same id is harmless"

    override fun run() {
        val body = try {
            File(file).readBytes()
        } catch (e: IOException) {
            throw CliktError("$file can't be read: ${e.message}", statusCode = 2)
        }
        ask("POST", "/work", body)
    }
}

internal class Show : Ask("show") {
    private val id by argument(help = "the job's id")

    override fun help(context: Context): String = "Tell how a job stands"

    override fun run(): Unit = ask("GET", "/work/$id")
}

internal class Cancel : Ask("withdraw") {
    private val id by argument(help = "the job's id")

    override fun help(context: Context): String = "Cancel a job"

    override fun run(): Unit = ask("POST", "/work/$id/withdraw", ByteArray(0))
}

internal class Explain : Ask("explain") {
    private val id by argument(help = "the job's id")

    override fun help(context: Context): String = "Tell why a job stands as it does"

    override fun run(): Unit = ask("GET", "/explain/$id")
}

internal class Release : Ask("release") {
    private val id by argument(help = "the job's id")
    private val reason by option("--reason", help = "why it may go on; kept in the log").required()

    override fun help(context: Context): String = "Let a job go on that the rule of its class held"

    override fun run(): Unit = ask("POST", "/release/$id", Json.bytes(mapOf("reason" to reason)))
}

internal class Status : Ask("status") {
    override fun help(context: Context): String = "Show a controller's role, counters and timers"

    override fun run(): Unit = ask("GET", "/status")
}

internal class StandIns : CoreCliktCommand(name = "stand-ins") {
    private val config by option(
        "--config",
        help = "a controller's settings file, whose addresses they take",
    ).required()

    private val nodes by option(
        "--nodes",
        help = "NAME=ADDRESS of each controller that workers report to, between commas; without it, the one of the settings",
    )

    private val uploads by option(
        "--uploads",
        help = "a folder with descriptions of jobs, as `sweep submit --upload` writes them: what workers fetch",
    )

    override fun help(context: Context): String =
        "Run a state service, a cloud and workers of our own, to try a controller out"

    override fun run(): Unit = ClassArchiveTraining.standIns(
        config,
        nodes?.split(',')?.associate {
            it.substringBefore('=') to
                (
                    Address.parse(it.substringAfter('='))
                        ?: throw CliktError("--nodes: \"$it\" is not of the form node-0=127.0.0.1:8080", statusCode = 2)
                    )
        },
        uploads?.let(::File),
    )
}

internal class Rehearse : CoreCliktCommand(name = "rehearse") {
    override fun help(context: Context): String =
        "Run a controller against the stand-ins for some seconds; the build makes its class archive so"

    override fun run(): Unit = ClassArchiveTraining.run()
}

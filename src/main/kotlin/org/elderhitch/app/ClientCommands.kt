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
import org.elderhitch.http.HttpStatus
import org.elderhitch.http.Response
import org.elderhitch.http.channelGroup
import org.elderhitch.json.Json
import org.elderhitch.time.SystemSteadyClock
import java.io.File
import java.io.IOException
import java.util.concurrent.ScheduledThreadPoolExecutor
import kotlin.time.Duration.Companion.seconds

/** A command that sends one request to a controller and prints the response. */
internal abstract class ClientCommand(name: String) : CoreCliktCommand(name = name) {
    private val node by option("--node", help = "the client address of a controller").default("127.0.0.1:8080")

    /** Prints the body of the response; exits with a code of [ExitCode] if there is none or it is an error. */
    protected fun sendRequest(method: String, path: String, body: ByteArray? = null) {
        val response = call(controllerAddress(), method, path, body)
            ?: throw CliktError("$node doesn't answer", statusCode = ExitCode.NO_ANSWER)
        val text = response.body.decodeToString()
        if (response.status >= HttpStatus.MULTIPLE_CHOICES) {
            throw CliktError("${response.status} $text", statusCode = ExitCode.REFUSED)
        }
        echo(text)
    }

    private fun controllerAddress(): Address = Address.parse(node) ?: throw CliktError(
        "--node: not an address of the form 127.0.0.1:8080",
        statusCode = ExitCode.BAD_ARGUMENT,
    )

    private fun call(address: Address, method: String, path: String, body: ByteArray?): Response? {
        val loop = ScheduledThreadPoolExecutor(1) { task -> Thread(task, "loop").apply { isDaemon = true } }
        val response = runBlocking(loop.asCoroutineDispatcher()) {
            HttpClient(channelGroup(loop), SystemSteadyClock).call(address, method, path, body, TIMEOUT)
        }
        loop.shutdownNow()
        return response
    }

    private companion object {
        val TIMEOUT = 5.seconds
    }
}

/** `submit`: submits a job. */
internal class SubmitCommand : ClientCommand("submit") {
    private val file by argument(help = "the job, a JSON file")

    override fun help(context: Context): String = "Submit a job; submitting it again with the same id has no effect"

    override fun run() = sendRequest("POST", "/work", readFile())

    private fun readFile(): ByteArray = try {
        File(file).readBytes()
    } catch (e: IOException) {
        val error = CliktError("$file can't be read: ${e.message}", cause = e, statusCode = ExitCode.BAD_ARGUMENT)
        throw error
    }
}

/** `show`: prints the status of a job. */
internal class ShowCommand : ClientCommand("show") {
    private val id by argument(help = "the job's id")

    override fun help(context: Context): String = "Show the status of a job"

    override fun run(): Unit = sendRequest("GET", "/work/$id")
}

/** `cancel`: cancels a job. */
internal class CancelCommand : ClientCommand(NAME) {
    private val id by argument(help = "the job's id")

    override fun help(context: Context): String = "Cancel a job"

    override fun run(): Unit = sendRequest("POST", "/work/$id/withdraw", ByteArray(0))

    companion object {
        const val NAME = "cancel"
    }
}

/** `explain`: prints why a job is in its state. */
internal class ExplainCommand : ClientCommand("explain") {
    private val id by argument(help = "the job's id")

    override fun help(context: Context): String = "Explain why a job is in its state"

    override fun run(): Unit = sendRequest("GET", "/explain/$id")
}

/** `release`: releases a job that the rule of its class holds. */
internal class ReleaseCommand : ClientCommand("release") {
    private val id by argument(help = "the job's id")
    private val reason by option("--reason", help = "why the job may run; recorded in the log").required()

    override fun help(context: Context): String = "Release a job that the rule of its class holds"

    override fun run(): Unit = sendRequest("POST", "/release/$id", Json.bytes(mapOf("reason" to reason)))
}

/** `status`: prints the status of a controller. */
internal class StatusCommand : ClientCommand("status") {
    override fun help(context: Context): String = "Show a controller's role, counters and timers"

    override fun run(): Unit = sendRequest("GET", "/status")
}

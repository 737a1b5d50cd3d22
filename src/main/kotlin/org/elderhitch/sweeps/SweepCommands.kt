package org.elderhitch.sweeps

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import com.github.ajalt.mordant.rendering.TextColors
import com.github.ajalt.mordant.terminal.Terminal
import com.github.ajalt.mordant.widgets.ProgressBar
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.elderhitch.http.Address
import org.elderhitch.http.HttpClient
import org.elderhitch.http.channelGroup
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.time.SystemSteadyClock
import java.io.File
import java.util.concurrent.ScheduledThreadPoolExecutor
import kotlin.time.Duration.Companion.seconds

private const val EXIT_REFUSED = 1
private const val EXIT_USAGE = 2
private const val EXIT_NO_ANSWER = 3

/** The user command `template`: works on a user's template files, without a controller. */
internal class TemplateCommand : CoreCliktCommand(name = "template") {
    init {
        subcommands(TemplateCheckCommand(), TemplateShowCommand())
    }

    override fun help(context: Context): String = "Check the template of a sweep, or show the job that a point becomes"

    override fun run() = Unit
}

/** Reads a template and its points; ends the command with a message of one line if they can't be used. */
private fun readDescription(file: String, points: String?): Description = try {
    DescriptionReader.read(File(file), points?.let(::File))
} catch (e: BadTemplate) {
    throw CliktError(e.message, e, statusCode = EXIT_USAGE)
}

private class TemplateCheckCommand : CoreCliktCommand(name = "check") {
    private val file by argument(help = "the template, a JSON file")
    private val points by option("--points", help = "a CSV file instead of the points that the template names")

    override fun help(context: Context): String = "Validate each point of a sweep, without asking a controller"

    override fun run() {
        val description = readDescription(file, points)
        var malformedCount = 0
        for (point in 0 until description.points.count) {
            try {
                description.job(SAMPLE_ID, point)
            } catch (e: BadPoint) {
                if (malformedCount++ < MAX_REPORTED) echo("row ${point + 1}: ${e.column}: ${e.reason}", err = true)
            }
        }
        echo("${description.points.count} points, $malformedCount malformed")
        if (malformedCount > 0) throw CliktError(null, statusCode = EXIT_REFUSED)
    }

    private companion object {
        val SAMPLE_ID = SweepId("sample")
        const val MAX_REPORTED = 50
    }
}

private class TemplateShowCommand : CoreCliktCommand(name = "show") {
    private val file by argument(help = "the template, a JSON file")
    private val points by option("--points", help = "a CSV file instead of the points that the template names")
    private val point by option(
        "--point",
        help = "the number of the point, from 0",
    ).int().restrictTo(min = 0).default(0)

    override fun help(context: Context): String = "Print the job that a point becomes"

    override fun run() {
        val description = readDescription(file, points)
        if (point >= description.points.count) {
            throw CliktError("--point: there are ${description.points.count} points, from 0", statusCode = EXIT_USAGE)
        }
        try {
            echo(Json.text(description.body(SweepId("sample"), point)))
        } catch (e: BadPoint) {
            throw CliktError("row ${point + 1}: ${e.message}", e, statusCode = EXIT_REFUSED)
        }
    }
}

/** The user command `sweep`. Exit codes: 0 success, 1 refused, 2 usage error, 3 no answer. */
internal class SweepCommand : CoreCliktCommand(name = "sweep") {
    init {
        subcommands(
            SweepSubmitCommand(),
            SweepShowCommand(),
            SweepPointsCommand(),
            SweepWithdrawCommand(),
            SweepWaitCommand(),
        )
    }

    override fun help(context: Context): String =
        "Submit many jobs as one, and watch, count and withdraw them as a group"

    override fun run() = Unit
}

private abstract class SweepClientCommand(name: String) : CoreCliktCommand(name = name) {
    private val nodes by option(
        "--node",
        help = "the controllers' client addresses, separated by commas",
    ).default("127.0.0.1:8080")
    protected val timeout by option(
        "--timeout",
        help = "seconds for all attempts together",
    ).int().restrictTo(1..86_400).default(30)

    protected fun <T> withClient(call: suspend (SweepClient) -> T): T {
        val addresses = nodes.split(',').map {
            Address.parse(it.trim())
                ?: throw CliktError(
                    "--node: \"$it\" is not an address of the form 127.0.0.1:8080",
                    statusCode = EXIT_USAGE,
                )
        }
        val loop = ScheduledThreadPoolExecutor(1) { task -> Thread(task, "loop").apply { isDaemon = true } }
        try {
            return runBlocking(loop.asCoroutineDispatcher()) {
                call(SweepClient(addresses, HttpClient(channelGroup(loop), SystemSteadyClock), SystemSteadyClock))
            }
        } finally {
            loop.shutdownNow()
        }
    }

    /** The body of a successful response; ends the command for any other. */
    protected fun bodyOrExit(result: Told): JsonObject = when (result) {
        is Told.NoResponse -> throw CliktError(
            if (result.mayBeDone) {
                "no answer: the request may have been carried out; it is safe to repeat the command to find out"
            } else {
                "no controller answered"
            },
            statusCode = EXIT_NO_ANSWER,
        )

        is Told.Response -> if (result.status < FIRST_ERROR_STATUS) result.body else refused(result)
    }

    private fun refused(result: Told.Response): Nothing {
        result.body.objects("bad").forEach {
            echo("row ${it.raw("row")}: ${it.raw("column")}: ${it.raw("reason")}", err = true)
        }
        throw CliktError(
            "${result.status} ${result.body.stringOrNull("error") ?: "refused"}",
            statusCode = if (result.status == SERVICE_UNAVAILABLE) {
                EXIT_NO_ANSWER
            } else {
                EXIT_REFUSED
            },
        )
    }

    protected fun parseId(text: String): SweepId = SweepId.parse(text)
        ?: throw CliktError(
            "\"$text\": the name of a sweep must be 4 to 24 lowercase letters and digits",
            statusCode = EXIT_USAGE,
        )

    protected fun summary(details: JsonObject): String = "${details.raw(
        "sweep",
    )}: ${details.raw(
        "points",
    )} points, ${details.raw(
        "done",
    )} done, ${details.raw("withdrawn")} withdrawn, ${details.raw("skipped")} skipped, ${details.raw("open")} open"

    private companion object {
        const val FIRST_ERROR_STATUS = 300
        const val SERVICE_UNAVAILABLE = 503
    }
}

private class SweepSubmitCommand : SweepClientCommand("submit") {
    private val file by argument(help = "the template, a JSON file")
    private val id by option(
        "--id",
        help = "the sweep's name, 4 to 24 lowercase letters and digits; by default a random one, printed first",
    )
    private val points by option("--points", help = "a CSV file instead of the points that the template names")
    private val upload by option(
        "--upload",
        help = "a folder to write the job of each point to, for workers to find, before the sweep is submitted",
    )
    private val dry by option(
        "--dry-run",
        help = "show what the sweep would amount to, and record nothing but its parts",
    ).flag()
    private val valueBytes by option(
        "--value-bytes",
        help = "the largest value that the state service accepts, in bytes",
    ).int().restrictTo(1024..65_536).default(8192)

    override fun help(context: Context): String = "Submit a sweep; submitting it again under the same name is harmless"

    override fun run() {
        val description = readDescription(file, points)
        val name =
            id?.let(::parseId)
                ?: SweepId(
                    List(RANDOM_NAME_LENGTH) {
                        NAME_ALPHABET[java.security.SecureRandom().nextInt(NAME_ALPHABET.length)]
                    }.joinToString(""),
                )
        // Printed before anything is sent, so that the user can follow up if the answer is lost.
        if (id == null) echo("sweep $name", err = true)
        upload?.let { directory -> if (!dry) writeJobs(File(directory), name, description) }
        val result = withClient { it.submit(name, description.pack(), valueBytes, dry, timeout.seconds) }
        echo(Json.text(bodyOrExit(result).let { body -> body.names.associateWith { body.raw(it) } }))
    }

    private fun writeJobs(directory: File, name: SweepId, description: Description) {
        if (!directory.isDirectory && !directory.mkdirs()) {
            throw CliktError("--upload: $directory is not a folder and can't be created", statusCode = EXIT_USAGE)
        }
        for (point in 0 until description.points.count) {
            try {
                File(directory, "${name.point(point)}.json").writeBytes(Json.bytes(description.body(name, point)))
            } catch (_: BadPoint) {
                continue
            } catch (e: java.io.IOException) {
                throw CliktError("--upload: $directory can't be written: ${e.message}", e, statusCode = EXIT_USAGE)
            }
        }
    }

    private companion object {
        const val RANDOM_NAME_LENGTH = 10
        const val NAME_ALPHABET = "abcdefghjkmnpqrstuvwxyz23456789"
    }
}

private class SweepShowCommand : SweepClientCommand("show") {
    private val id by argument(help = "the sweep's name")

    override fun help(context: Context): String = "Show the progress of a sweep, and the work of its points"

    override fun run() {
        val details = bodyOrExit(withClient { it.ask("GET", "/sweeps/${parseId(id)}", null, timeout.seconds) })
        echo(summary(details))
        details.objectOrNull("account")?.let { account ->
            echo(account.names.joinToString(", ") { "$it ${account.raw(it)}" })
        }
    }
}

private class SweepPointsCommand : SweepClientCommand("points") {
    private val id by argument(help = "the sweep's name")
    private val state by option(
        "--state",
        help = "only points in this state",
    ).choice("open", "running", "failed", "done", "withdrawn", "skipped")

    override fun help(context: Context): String = "List a sweep's points, one per line"

    override fun run() {
        val name = parseId(id)
        var after = -1L
        while (true) {
            val query = "after=$after" + state?.let { "&state=$it" }.orEmpty()
            val page = bodyOrExit(withClient { it.ask("GET", "/sweeps/$name/points?$query", null, timeout.seconds) })
            val points = page.objects("points")
            points.forEach { echo("${it.raw("point")}\t${it.raw("state")}\t${it.raw("id")}") }
            if (page.raw("more") != true || points.isEmpty()) return
            after = points.last().long("point")
        }
    }
}

private class SweepWithdrawCommand : SweepClientCommand("withdraw") {
    private val id by argument(help = "the sweep's name")
    private val points by option("--points", help = "the points to withdraw, like 10-200; by default all")

    override fun help(context: Context): String =
        "Cancel a sweep or some of its points; points that have ended are not affected"

    override fun run() {
        val range = points?.let { text ->
            RANGE.matchEntire(text)?.destructured?.let { (a, b) ->
                mapOf("from" to a.toLong(), "to" to b.ifEmpty { a }.toLong())
            }
                ?: throw CliktError("--points: \"$text\" is not of the form 10-200", statusCode = EXIT_USAGE)
        }
        echo(
            summary(
                bodyOrExit(
                    withClient {
                        it.ask("POST", "/sweeps/${parseId(id)}/withdraw", range ?: emptyMap(), timeout.seconds)
                    },
                ),
            ),
        )
    }

    private companion object {
        val RANGE = Regex("([0-9]{1,6})(?:-([0-9]{1,6}))?")
    }
}

/** Waits until no point is open. Shows a progress bar on a terminal, and prints lines elsewhere. */
private class SweepWaitCommand : SweepClientCommand("wait") {
    private val id by argument(help = "the sweep's name")

    override fun help(context: Context): String =
        "Wait until a sweep has ended; exit code 3 if that takes longer than --timeout"

    override fun run() {
        val name = parseId(id)
        // Without its native code the terminal library can't tell a terminal from a pipe; the Java platform can.
        val isTerminal = System.console() != null
        val terminal = Terminal(interactive = isTerminal)
        val deadline = SystemSteadyClock.now() + timeout.seconds
        var last = ""
        while (true) {
            val details =
                bodyOrExit(
                    withClient {
                        it.ask(
                            "GET",
                            "/sweeps/$name",
                            null,
                            (deadline - SystemSteadyClock.now()).coerceAtLeast(1.seconds),
                        )
                    },
                )
            val open = details.long("open")
            if (isTerminal) {
                val ended = details.long("points") - open
                terminal.rawPrint(
                    "\r" +
                        terminal.render(
                            ProgressBar(total = details.long("points"), completed = ended, width = PROGRESS_BAR_WIDTH),
                        ) +
                        " " +
                        TextColors.cyan("$ended/${details.long("points")}"),
                )
            } else if (summary(details) != last) {
                last = summary(details)
                echo(last)
            }
            if (open == 0L) {
                if (isTerminal) echo("\n" + summary(details))
                return
            }
            if (SystemSteadyClock.now() >= deadline) {
                throw CliktError("$open points are still open", statusCode = EXIT_NO_ANSWER)
            }
            runBlocking { delay(POLL_INTERVAL) }
        }
    }

    private companion object {
        const val PROGRESS_BAR_WIDTH = 40
        val POLL_INTERVAL = 2.seconds
    }
}

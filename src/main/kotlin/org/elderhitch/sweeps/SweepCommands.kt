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

private const val REFUSED = 1
private const val USAGE = 2
private const val NO_ANSWER = 3

/** For users: templates, which are files of theirs. */
internal class TemplateCommand : CoreCliktCommand(name = "template") {
    init {
        subcommands(TemplateCheckCommand(), TemplateShow())
    }

    override fun help(context: Context): String = "Check a template of a sweep, or show what a point of it becomes"

    override fun run() = Unit
}

/** What a template and its points are, or the end of the command with one line. */
private fun read(file: String, points: String?): Description = try {
    Sources.read(File(file), points?.let(::File))
} catch (e: BadTemplate) {
    throw CliktError(e.message, e, statusCode = USAGE)
}

private class TemplateCheckCommand : CoreCliktCommand(name = "check") {
    private val file by argument(help = "the template, a JSON file")
    private val points by option("--points", help = "a CSV file instead of the points that the template names")

    override fun help(context: Context): String = "Look at each point of a sweep, without asking a controller"

    override fun run() {
        val description = read(file, points)
        var bad = 0
        for (point in 0 until description.points.count) {
            try {
                description.job(SAMPLE, point)
            } catch (e: BadPoint) {
                if (bad++ < SHOWN) echo("row ${point + 1}: ${e.column}: ${e.reason}", err = true)
            }
        }
        echo("${description.points.count} points, $bad malformed")
        if (bad > 0) throw CliktError(null, statusCode = REFUSED)
    }

    private companion object {
        val SAMPLE = SweepId("sample")
        const val SHOWN = 50
    }
}

private class TemplateShow : CoreCliktCommand(name = "show") {
    private val file by argument(help = "the template, a JSON file")
    private val points by option("--points", help = "a CSV file instead of the points that the template names")
    private val point by option("--point", help = "which point").int().restrictTo(min = 0).default(0)

    override fun help(context: Context): String = "Print the job that a point becomes"

    override fun run() {
        val description = read(file, points)
        if (point >= description.points.count) {
            throw CliktError("--point: there are ${description.points.count} points, from 0", statusCode = USAGE)
        }
        try {
            echo(Json.text(description.body(SweepId("sample"), point)))
        } catch (e: BadPoint) {
            throw CliktError("row ${point + 1}: ${e.message}", e, statusCode = REFUSED)
        }
    }
}

/** For users: sweeps. Exit codes: 0 fine, 1 refused, 2 wrongly used, 3 no answer. */
internal class SweepCommand : CoreCliktCommand(name = "sweep") {
    init {
        subcommands(SweepSubmit(), SweepShow(), SweepPoints(), SweepWithdraw(), SweepWait())
    }

    override fun help(context: Context): String =
        "Submit many jobs as one, and watch, count and withdraw them as a group"

    override fun run() = Unit
}

private abstract class SweepAsk(name: String) : CoreCliktCommand(name = name) {
    private val nodes by option(
        "--node",
        help = "the controllers' client addresses, between commas",
    ).default("127.0.0.1:8080")
    protected val timeout by option(
        "--timeout",
        help = "seconds for all tries together",
    ).int().restrictTo(1..86_400).default(30)

    protected fun <T> speak(talk: suspend (SweepClient) -> T): T {
        val addresses = nodes.split(',').map {
            Address.parse(it.trim())
                ?: throw CliktError("--node: \"$it\" is no address of the form 127.0.0.1:8080", statusCode = USAGE)
        }
        val loop = ScheduledThreadPoolExecutor(1) { task -> Thread(task, "loop").apply { isDaemon = true } }
        try {
            return runBlocking(loop.asCoroutineDispatcher()) {
                talk(SweepClient(addresses, HttpClient(channelGroup(loop), SystemSteadyClock), SystemSteadyClock))
            }
        } finally {
            loop.shutdownNow()
        }
    }

    /** The answer's body, or the end of the command. */
    protected fun fine(told: Told): JsonObject = when (told) {
        is Told.NoResponse -> throw CliktError(
            if (told.mayBeDone) {
                "no answer: it may have been carried out; the same command again tells, and does no harm"
            } else {
                "no controller answers"
            },
            statusCode = NO_ANSWER,
        )

        is Told.Response -> if (told.status < REFUSALS) told.body else refused(told)
    }

    private fun refused(told: Told.Response): Nothing {
        told.body.objects("bad").forEach {
            echo("row ${it.raw("row")}: ${it.raw("column")}: ${it.raw("reason")}", err = true)
        }
        throw CliktError(
            "${told.status} ${told.body.stringOrNull("error") ?: "refused"}",
            statusCode = if (told.status == BUSY) {
                NO_ANSWER
            } else {
                REFUSED
            },
        )
    }

    protected fun sweep(text: String): SweepId = SweepId.parse(text)
        ?: throw CliktError(
            "\"$text\": the name of a sweep is 4 to 24 small letters and digits",
            statusCode = USAGE,
        )

    protected fun line(shown: JsonObject): String = "${shown.raw(
        "sweep",
    )}: ${shown.raw(
        "points",
    )} points, ${shown.raw(
        "done",
    )} done, ${shown.raw("withdrawn")} withdrawn, ${shown.raw("skipped")} skipped, ${shown.raw("open")} open"

    private companion object {
        const val REFUSALS = 300
        const val BUSY = 503
    }
}

private class SweepSubmit : SweepAsk("submit") {
    private val file by argument(help = "the template, a JSON file")
    private val id by option(
        "--id",
        help = "the sweep's name, 4 to 24 small letters and digits; without it one is drawn and told first",
    )
    private val points by option("--points", help = "a CSV file instead of the points that the template names")
    private val upload by option(
        "--upload",
        help = "a folder for the description of each point, as workers must find it, before the sweep is submitted",
    )
    private val dry by option("--dry-run", help = "tell what it would come to, and record nothing but the parts").flag()
    private val valueBytes by option(
        "--value-bytes",
        help = "what a value of the state service may have",
    ).int().restrictTo(1024..65_536).default(8192)

    override fun help(context: Context): String = "Submit a sweep; a repeat with the same name is harmless"

    override fun run() {
        val description = read(file, points)
        val name =
            id?.let(::sweep)
                ?: SweepId(
                    List(NAME) {
                        LETTERS[java.security.SecureRandom().nextInt(LETTERS.length)]
                    }.joinToString(""),
                )
        // Told before anything is sent, so that a lost answer can be followed up.
        if (id == null) echo("sweep $name", err = true)
        upload?.let { folder -> if (!dry) write(File(folder), name, description) }
        val told = speak { it.submit(name, description.pack(), valueBytes, dry, timeout.seconds) }
        echo(Json.text(fine(told).let { body -> body.names.associateWith { body.raw(it) } }))
    }

    private fun write(folder: File, name: SweepId, description: Description) {
        if (!folder.isDirectory && !folder.mkdirs()) {
            throw CliktError("--upload: $folder is no folder and can't be made", statusCode = USAGE)
        }
        for (point in 0 until description.points.count) {
            try {
                File(folder, "${name.point(point)}.json").writeBytes(Json.bytes(description.body(name, point)))
            } catch (_: BadPoint) {
                continue
            } catch (e: java.io.IOException) {
                throw CliktError("--upload: $folder can't be written: ${e.message}", e, statusCode = USAGE)
            }
        }
    }

    private companion object {
        const val NAME = 10
        const val LETTERS = "abcdefghjkmnpqrstuvwxyz23456789"
    }
}

private class SweepShow : SweepAsk("show") {
    private val id by argument(help = "the sweep's name")

    override fun help(context: Context): String = "Tell how a sweep stands, and what its points took"

    override fun run() {
        val shown = fine(speak { it.ask("GET", "/sweeps/${sweep(id)}", null, timeout.seconds) })
        echo(line(shown))
        shown.objectOrNull("account")?.let { account ->
            echo(account.names.joinToString(", ") { "$it ${account.raw(it)}" })
        }
    }
}

private class SweepPoints : SweepAsk("points") {
    private val id by argument(help = "the sweep's name")
    private val state by option(
        "--state",
        help = "only points that stand so",
    ).choice("open", "running", "failed", "done", "withdrawn", "skipped")

    override fun help(context: Context): String = "List a sweep's points, one a line"

    override fun run() {
        val name = sweep(id)
        var after = -1L
        while (true) {
            val query = "after=$after" + state?.let { "&state=$it" }.orEmpty()
            val page = fine(speak { it.ask("GET", "/sweeps/$name/points?$query", null, timeout.seconds) })
            val points = page.objects("points")
            points.forEach { echo("${it.raw("point")}\t${it.raw("state")}\t${it.raw("id")}") }
            if (page.raw("more") != true || points.isEmpty()) return
            after = points.last().long("point")
        }
    }
}

private class SweepWithdraw : SweepAsk("withdraw") {
    private val id by argument(help = "the sweep's name")
    private val points by option("--points", help = "which points, like 10-200; without it all")

    override fun help(context: Context): String =
        "Cancel a sweep or some of its points; those that have ended keep their end"

    override fun run() {
        val range = points?.let { text ->
            RANGE.matchEntire(text)?.destructured?.let { (a, b) ->
                mapOf("from" to a.toLong(), "to" to b.ifEmpty { a }.toLong())
            }
                ?: throw CliktError("--points: \"$text\" is not of the form 10-200", statusCode = USAGE)
        }
        echo(
            line(
                fine(
                    speak {
                        it.ask("POST", "/sweeps/${sweep(id)}/withdraw", range ?: emptyMap(), timeout.seconds)
                    },
                ),
            ),
        )
    }

    private companion object {
        val RANGE = Regex("([0-9]{1,6})(?:-([0-9]{1,6}))?")
    }
}

/** Waits until no point is open: a bar on a terminal, lines elsewhere. */
private class SweepWait : SweepAsk("wait") {
    private val id by argument(help = "the sweep's name")

    override fun help(context: Context): String =
        "Wait until a sweep has ended; exit code 3 if that takes longer than --timeout"

    override fun run() {
        val name = sweep(id)
        // Without its native parts the library can't tell a terminal from a pipe; the platform can.
        val onTerminal = System.console() != null
        val terminal = Terminal(interactive = onTerminal)
        val until = SystemSteadyClock.now() + timeout.seconds
        var last = ""
        while (true) {
            val shown =
                fine(
                    speak {
                        it.ask("GET", "/sweeps/$name", null, (until - SystemSteadyClock.now()).coerceAtLeast(1.seconds))
                    },
                )
            val open = shown.long("open")
            if (onTerminal) {
                val ended = shown.long("points") - open
                terminal.rawPrint(
                    "\r" + terminal.render(ProgressBar(total = shown.long("points"), completed = ended, width = BAR)) +
                        " " +
                        TextColors.cyan("$ended/${shown.long("points")}"),
                )
            } else if (line(shown) != last) {
                last = line(shown)
                echo(last)
            }
            if (open == 0L) {
                if (onTerminal) echo("\n" + line(shown))
                return
            }
            if (SystemSteadyClock.now() >= until) {
                throw CliktError("$open points are still open", statusCode = NO_ANSWER)
            }
            runBlocking { delay(POLL) }
        }
    }

    private companion object {
        const val BAR = 40
        val POLL = 2.seconds
    }
}

package org.elderhitch

import org.junit.jupiter.api.extension.ExtensionContext
import org.junit.jupiter.api.extension.InvocationInterceptor
import org.junit.jupiter.api.extension.ReflectiveInvocationContext
import org.opentest4j.TestAbortedException
import java.io.File
import java.lang.reflect.Method

/** A test that fails because of a known fault that isn't fixed yet. */
internal data class KnownFailure(
    /** Class name, `#` and method name. */
    val test: String,
    /** The command, with its seed, that reproduces the failure. */
    val command: String,
    /** What was seen when the test failed. */
    val observed: String,
    /** The open issue, such as `#30`. */
    val issue: String,
)

/**
 * The entries of `KNOWN-RED.txt`, one per line: `class#name | command and seed | what was seen | issue`.
 * If the file is missing or empty, no test is exempt.
 */
internal class KnownFailures(val entries: List<KnownFailure>, private val report: (String) -> Unit = ::println) {
    /**
     * Runs a test. A listed test that fails is reported and counts as aborted; a listed test that passes fails the
     * run, so that its entry gets removed.
     */
    fun run(test: String, body: () -> Unit) {
        val entry = entries.firstOrNull { it.test == test } ?: return body()
        try {
            body()
        } catch (@Suppress("TooGenericExceptionCaught") e: Throwable) {
            report("KNOWN RED ${entry.test} | ${entry.command} | ${entry.observed} | ${entry.issue}")
            throw TestAbortedException("known failure: ${entry.observed}, ${entry.issue}", e)
        }
        throw AssertionError("$test passes but is listed in $FILE; remove its entry")
    }

    companion object {
        const val FILE = "KNOWN-RED.txt"
        private const val PARTS = 4

        fun parse(text: String, report: (String) -> Unit = ::println): KnownFailures {
            val entries = text.lines().map { it.trim() }.filter { it.isNotEmpty() }.map { line ->
                val parts = line.split('|').map { it.trim() }
                require(
                    parts.size == PARTS &&
                        parts.all {
                            it.isNotEmpty()
                        } &&
                        '#' in parts[0],
                ) { "$FILE: expected `class#name | command and seed | what was seen | issue`: $line" }
                KnownFailure(parts[0], parts[1], parts[2], parts[3])
            }
            require(entries.map { it.test }.toSet().size == entries.size) { "$FILE: a test is listed more than once" }
            return KnownFailures(entries, report)
        }

        fun read(): KnownFailures = File(FILE).let { parse(if (it.exists()) it.readText() else "") }
    }
}

/** Applies `KNOWN-RED.txt` to every test; registered in `META-INF/services`. */
internal class KnownRedTests : InvocationInterceptor {
    private val knownFailures = KnownFailures.read()

    override fun interceptTestMethod(
        invocation: InvocationInterceptor.Invocation<Void?>,
        context: ReflectiveInvocationContext<Method>,
        extension: ExtensionContext,
    ) = knownFailures.run("${context.targetClass.name}#${context.executable.name}") { invocation.proceed() }
}

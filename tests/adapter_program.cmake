# Runs the program itself: a clean end of input exits with 0, a damaged line with 1 and a message.
function(run_with text want_status want_output want_error)
  file(WRITE "${WORK}/input.txt" "${text}")
  execute_process(COMMAND "${ADAPTER}" INPUT_FILE "${WORK}/input.txt" RESULT_VARIABLE status
                  OUTPUT_VARIABLE output ERROR_VARIABLE error)
  if(NOT status EQUAL want_status)
    message(FATAL_ERROR "exit status ${status}, not ${want_status}: ${error}")
  endif()
  if(NOT output MATCHES "${want_output}" OR NOT error MATCHES "${want_error}")
    message(FATAL_ERROR "unexpected output: '${output}' / '${error}'")
  endif()
endfunction()

run_with("clock\tWall=5\tturn=1\nyour_turn\n" 0 "^ok\tturn=1\n$" "^$")
run_with("" 0 "^$" "^$")
run_with("clock\tWall=x\tturn=1\nyour_turn\n" 1 "^$" "line 1: field Wall")
run_with("clock\tWall=5\tturn=1\nelapsed\tI=1\n" 1 "^$" "line 2: field Token")
run_with("clock\tWall=5\tturn=1\n" 1 "^$" "line 2: the input ends")
